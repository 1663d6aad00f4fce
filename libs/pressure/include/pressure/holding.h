#pragma once

#include <pressure/close_order.h>

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::pressure {

/// What a connection holds.
struct holding {
    std::size_t bytes = 0; ///< Allocated for its request and its unread answer.
    core::instant since{}; ///< When it began to wait.
    close_order order = close_order::waiting;

    friend auto operator<=>(const holding&, const holding&) = default;
};

} // namespace ej::pressure
