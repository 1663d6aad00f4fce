#pragma once

#include <membership/member_record.h>
#include <membership/member_settings.h>

#include <concurrency/sharded.h>
#include <core/vm_id.h>

#include <optional>
#include <vector>

namespace ej::membership {

/// The daemons of this daemon's failure domain, including itself. Thread-safe. Updates return the
/// entries that changed, to be sent to other daemons.
class member_directory {
public:
    /// `self` is alive; its boot number is above those of its earlier runs.
    explicit member_directory(member_entry self, member_settings settings = {});

    /// Merges entries received from other daemons. A newer entry about this daemon itself is
    /// refuted by raising its version.
    std::vector<member_entry> merge_entries(const std::vector<member_entry>& received,
                                            core::instant now);

    /// Marks a daemon as suspect after its connection was lost or could not be made.
    std::optional<member_entry> mark_suspect(const core::vm_id& vm, core::instant now);

    /// Marks this daemon as leaving.
    member_entry mark_leaving(core::instant now);

    /// Marks suspects dead after `suspect_timeout` and removes the dead after `forget_after`.
    /// Returns the newly dead.
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
