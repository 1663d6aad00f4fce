#pragma once

#include <rollout/rollout_report.h>

#include <core/instant.h>
#include <core/vm_id.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace ej::rollout {

/// The reports of all daemons on one roll-out. Not thread-safe.
class evidence_table {
public:
    /// A report that is older counts as missing: three intervals, so that two may be lost.
    static constexpr core::duration report_lifetime = std::chrono::milliseconds(1'500);

    /// Applies a report; those on another order and those that arrive out of order are ignored.
    void apply(const rollout_report& report, core::revision order, core::instant now);

    /// The answers of all daemons since the order, also of those that have ended meanwhile.
    [[nodiscard]] answers_by_route total(core::instant now) const;

    /// How many of `members` have reported lately.
    [[nodiscard]] std::size_t heard_of(const std::vector<core::vm_id>& members,
                                       core::instant now) const;

    /// True if reports have come for `report_lifetime`, and each daemon that has reported lately
    /// applies at least `to_target` and runs nothing at other versions.
    [[nodiscard]] bool handed_over(share to_target, core::instant now) const;

    /// Requests that run at other versions, by the latest reports.
    [[nodiscard]] std::uint64_t runs_elsewhere(core::instant now) const;

private:
    struct entry {
        rollout_report latest;
        core::instant heard;
        answers_by_route earlier;           // Of the daemon's runs before its latest restart.
        std::set<std::uint64_t> ended_runs; // Their `rollout_report::start`.
    };

    [[nodiscard]] static bool is_recent(const entry& one, core::instant now);

    std::map<core::vm_id, entry> entries_;
    core::revision order_;
    core::instant collecting_since_{}; // The first report on that order.
};

} // namespace ej::rollout
