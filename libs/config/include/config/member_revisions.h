#pragma once

#include <config/member_revision.h>

#include <core/vm_id.h>

#include <map>
#include <vector>

namespace ej::config {

/// The configuration revision last reported by each live member.
class member_revisions {
public:
    /// Replaces the members; revisions of members that stay are kept.
    void replace(const std::vector<member>& members);

    /// Records that `vm` has `revision` in force; ignored unless `vm` is a member.
    void record(const core::vm_id& vm, core::revision revision);

    /// All members, by name.
    [[nodiscard]] std::vector<member_revision> list() const;

private:
    std::map<core::vm_id, member_revision> members_;
};

} // namespace ej::config
