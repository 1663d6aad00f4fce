#pragma once

#include <placement/model_id.h>

#include <core/endpoint_id.h>
#include <core/fencing_number.h>

#include <compare>
#include <set>

namespace ej::placement {

/// Sets the models that an engine should have. Idempotent.
struct order {
    core::endpoint_id engine;
    core::fencing_number fencing;
    std::set<model_id> models;

    friend auto operator<=>(const order&, const order&) = default;
};

} // namespace ej::placement
