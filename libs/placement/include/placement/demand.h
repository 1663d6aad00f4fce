#pragma once

#include <placement/model_id.h>

#include <compare>

namespace ej::placement {

/// The current load on a model.
struct demand {
    model_id model;
    double engines = 0; ///< Number of engines that it would fully load; from 0.

    friend auto operator<=>(const demand&, const demand&) = default;
};

} // namespace ej::placement
