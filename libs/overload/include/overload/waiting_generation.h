#pragma once

#include <overload/generation_demand.h>

#include <core/request_id.h>

#include <compare>
#include <cstddef>

namespace ej::overload {

/// A generation that waits for a place.
struct waiting_generation {
    core::request_id id; ///< Unique among those that wait.
    generation_demand demand;
    std::size_t bytes = 0; ///< Of the request.

    friend auto operator<=>(const waiting_generation&, const waiting_generation&) = default;
};

} // namespace ej::overload
