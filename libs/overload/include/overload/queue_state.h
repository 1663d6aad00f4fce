#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::overload {

/// The requests that wait for the engines of a service, at all daemons.
struct queue_state {
    std::size_t ahead = 0;      ///< Waiting requests that are served before the one in question.
    double ends_per_second = 0; ///< Generations that end at the engines; 0: unknown.
    bool others_first = false;  ///< Requests that wait at this daemon have the next free place.

    /// Expected time until a place is free for the request; 0 if unknown.
    [[nodiscard]] core::duration wait() const;

    friend auto operator<=>(const queue_state&, const queue_state&) = default;
};

} // namespace ej::overload
