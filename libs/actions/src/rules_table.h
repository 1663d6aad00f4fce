#pragma once

#include <actions/action_rules.h>

#include <array>

namespace ej::actions {

/// The handler of each event in each phase.
struct action_rules::table {
    using handler = transition (action_rules::*)(const action_state&, const action_event&) const;
    using row = std::array<handler, event_kind_count>;

    /// Rows in the order of `action_phase`, columns in the order of `event_kind`.
    static const std::array<row, action_phase_count> rows;
};

} // namespace ej::actions
