#pragma once

#include "admission_gate.h"

#include <core/instant.h>
#include <routing/outcome_kind.h>
#include <routing/placement.h>

#include <optional>

namespace ej::runtime {

/// A request's stay at the engine that it was placed on. Used on one strand.
class engine_slot {
public:
    /// `gate` outlives this.
    explicit engine_slot(admission_gate& gate) : gate_(gate) {}

    /// The stay begins.
    void begin(const routing::placement& where, core::instant now);

    /// The stay ends, if there is one: `tokens` were made.
    void end(routing::outcome_kind how, double tokens, core::instant now);

private:
    admission_gate& gate_;
    std::optional<routing::placement> where_;
    core::instant began_;
};

} // namespace ej::runtime
