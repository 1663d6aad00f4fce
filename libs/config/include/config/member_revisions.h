#pragma once

#include <config/member_revision.h>

#include <core/vm_id.h>

#include <map>
#include <vector>

namespace ej::config {

/// The revision last heard from each live member.
class member_revisions {
public:
    /// Replaces the members; what was heard of those that stay is kept.
    void replace(const std::vector<member>& members);

    /// `vm` has `revision` in force; ignored unless it is a member.
    void record(const core::vm_id& vm, core::revision revision);

    /// All members, by name.
    [[nodiscard]] std::vector<member_revision> list() const;

private:
    std::map<core::vm_id, member_revision> members_;
};

} // namespace ej::config
