#pragma once

#include <cstddef>
#include <cstdint>

namespace ej::overload {

/// Order in which waiting generations get free places.
enum class waiting_band : std::uint8_t {
    begun,  ///< An engine may have begun it and was lost.
    timely, ///< Can still meet its target.
    late,   ///< Its target has passed.
};

inline constexpr std::size_t waiting_band_count = 3;

} // namespace ej::overload
