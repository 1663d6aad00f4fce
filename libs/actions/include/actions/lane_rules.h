#pragma once

#include <actions/claim_limits.h>
#include <actions/lane_event.h>
#include <actions/lane_transition.h>

namespace ej::actions {

/// Decides which claims go into the next write of a bucket: one call at a time, all that wait in
/// one write, a read-back after a lost answer. Stateless; thread-safe.
class lane_rules {
public:
    explicit lane_rules(const claim_limits& limits) : limits_(limits) {}

    /// The lane and effects that follow `event`.
    [[nodiscard]] lane_transition apply(claim_lane lane, const lane_event& event) const;

private:
    struct table;

    [[nodiscard]] lane_transition ignore(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition start(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition gather(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition take_turn(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition learn(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition accept(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition conflict(claim_lane lane, const lane_event& event) const;
    [[nodiscard]] lane_transition fail(claim_lane lane, const lane_event& event) const;

    [[nodiscard]] lane_transition write(claim_lane lane, const lane_event& event) const;

    claim_limits limits_;
};

} // namespace ej::actions
