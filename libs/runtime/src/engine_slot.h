#pragma once

#include "admission_gate.h"

#include <core/instant.h>
#include <routing/endpoint_assignment.h>
#include <routing/outcome_kind.h>

#include <optional>

namespace ej::runtime {

/// The engine slot that a request occupies, from its placement to its release. Used on one strand.
class engine_slot {
public:
    /// `gate` outlives this.
    explicit engine_slot(admission_gate& gate) : gate_(gate) {}

    /// Starts to hold the slot at `where`.
    void begin(const routing::endpoint_assignment& where, core::instant now);

    /// Releases the slot, if one is held, and records `how` and the number of `tokens` made.
    void end(routing::outcome_kind how, double tokens, core::instant now);

private:
    admission_gate& gate_;
    std::optional<routing::endpoint_assignment> where_;
    core::instant began_;
};

} // namespace ej::runtime
