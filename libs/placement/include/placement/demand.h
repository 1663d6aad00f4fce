#pragma once

#include <placement/model_id.h>

#include <compare>

namespace ej::placement {

/// What is asked of a model now.
struct demand {
    model_id model;
    double engines = 0; ///< How many engines' whole throughput it would fill; from 0.

    friend auto operator<=>(const demand&, const demand&) = default;
};

} // namespace ej::placement
