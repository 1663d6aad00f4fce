#pragma once

#include <cstdint>

namespace ej::fleet {

/// A currently unused port of the loopback address for sockets of `type` (SOCK_STREAM or
/// SOCK_DGRAM). Throws std::runtime_error.
[[nodiscard]] std::uint16_t free_port(int type);

} // namespace ej::fleet
