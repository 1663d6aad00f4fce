#pragma once

#include <placement/model_id.h>

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <compare>

namespace ej::placement {

/// A model that the plan assigns to an engine.
struct assignment {
    core::endpoint_id engine;
    model_id model;
    core::instant since; ///< When it was assigned.

    friend auto operator<=>(const assignment&, const assignment&) = default;
};

} // namespace ej::placement
