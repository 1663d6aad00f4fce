#pragma once

#include <routing/outcome_kind.h>

#include <core/instant.h>

#include <compare>

namespace ej::routing {

/// The end of one request at an endpoint.
struct outcome {
    outcome_kind kind = outcome_kind::finished;
    double work = 0;       ///< Tokens generated, or 1 for a plain call; >= 0.
    core::duration took{}; ///< From sending to the end.

    friend auto operator<=>(const outcome&, const outcome&) = default;
};

} // namespace ej::routing
