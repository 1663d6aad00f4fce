#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::http {

/// The slowest arrival of an answer's body that is waited for.
struct body_pace {
    core::duration silence{};         ///< Longest time without a byte; > 0.
    std::size_t bytes_per_second = 1; ///< Lowest mean rate; > 0.

    friend auto operator<=>(const body_pace&, const body_pace&) = default;
};

} // namespace ej::http
