#pragma once

#include <placement/model_id.h>

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <compare>

namespace ej::placement {

/// A model that an engine is wanted to have.
struct assignment {
    core::endpoint_id engine;
    model_id model;
    core::instant since; ///< When it was decided.

    friend auto operator<=>(const assignment&, const assignment&) = default;
};

} // namespace ej::placement
