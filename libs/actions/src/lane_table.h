#pragma once

#include <actions/lane_rules.h>

#include <array>

namespace ej::actions {

/// The handler of each event in each phase.
struct lane_rules::table {
    using handler = lane_transition (lane_rules::*)(claim_lane, const lane_event&) const;
    using row = std::array<handler, lane_event_kind_count>;

    /// Rows as in `lane_phase`, columns as in `lane_event_kind`.
    static const std::array<row, lane_phase_count> rows;
};

} // namespace ej::actions
