#pragma once

#include <membership/member_record.h>
#include <membership/member_settings.h>

#include <concurrency/sharded.h>
#include <core/vm_id.h>

#include <optional>
#include <vector>

namespace ej::membership {

/// The daemons of this daemon's failure domain, itself among them. Thread-safe. Events return the
/// entries that changed, for other daemons to be told.
class member_directory {
public:
    /// `self` is alive; its boot number is above those of its earlier runs.
    explicit member_directory(member_entry self, member_settings settings = {});

    /// Other daemons' statements. What they say of this daemon and is not so is refuted by a higher
    /// version.
    std::vector<member_entry> merge_entries(const std::vector<member_entry>& received,
                                            core::instant now);

    /// The connection to a daemon was lost or could not be made.
    std::optional<member_entry> mark_suspect(const core::vm_id& vm, core::instant now);

    /// This daemon drains from now on.
    member_entry mark_leaving(core::instant now);

    /// Declares suspects dead whose time has passed, and forgets the long dead.
    std::vector<member_entry> expire(core::instant now);

    [[nodiscard]] member_entry self();

    /// Daemons that are alive or leaving, sorted.
    [[nodiscard]] std::vector<member_entry> reachable();

    /// Every daemon known, sorted.
    [[nodiscard]] std::vector<member_entry> all();

private:
    using record_map = concurrency::sharded<core::vm_id, member_record>;

    std::optional<member_entry> merge_entry(const member_entry& received, core::instant now);
    std::optional<member_entry> refute(const member_entry& received, core::instant now);

    core::vm_id self_;
    member_settings settings_;
    record_map records_;
};

} // namespace ej::membership
