#pragma once

#include "net.h"

#include <cstdint>

namespace ej::front {

/// Bytes that were sent on `socket` and that its peer has not acknowledged; 0 if it has failed.
[[nodiscard]] std::uint64_t unacknowledged_bytes(tcp::socket& socket);

} // namespace ej::front
