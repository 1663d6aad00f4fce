#pragma once

#include <rollout/rollout_order.h>
#include <rollout/rollout_record.h>
#include <rollout/version_rule.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <optional>

namespace ej::rollout {

/// What a daemon knows of the roll-out of one service. Immutable: each event creates a new value.
struct rollout_state {
    std::optional<rollout_order> order;   ///< Unset: none yet, or withdrawn.
    std::optional<rollout_record> record; ///< May answer an earlier order.
    core::revision order_revision;        ///< Of the last write or removal of the order.
    core::revision record_revision;       ///< Of the record in the store; 0: it has none.
    core::instant began{}; ///< When the order was given, as far as this daemon knows.
    share trial_share = 0; ///< Of a trial, by the latest rate of requests; the record's at most.
    core::revision rejected_order; ///< Order whose target is known to be bad; 0: none.

    /// True if `record` answers `order`.
    [[nodiscard]] bool is_answered() const
    {
        return order && record && record->order == order->revision;
    }

    /// True while the order has not come to its end.
    [[nodiscard]] bool is_open() const
    {
        return order && !(is_answered() && is_final(record->phase));
    }

    /// True if the target of the order has been found bad.
    [[nodiscard]] bool is_rejected() const { return order && rejected_order == order->revision; }

    /// Share of the requests that goes to the target at `now`.
    [[nodiscard]] share to_target(core::instant now) const;

    /// The rule for a request whose `draw` in [0, whole_share) differs between requests.
    [[nodiscard]] version_rule rule_for(share draw, core::instant now) const;

    friend auto operator<=>(const rollout_state&, const rollout_state&) = default;
};

} // namespace ej::rollout
