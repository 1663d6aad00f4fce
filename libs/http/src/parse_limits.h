#pragma once

#include <cstddef>

namespace ej::http {

/// Limit for received bytes that the parser cannot consume yet. Beast limits a header itself, but
/// neither chunk extensions nor trailers.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{128} << 10;

} // namespace ej::http
