#pragma once

#include <core/instant.h>

#include <cstdint>

namespace ej::forwarding {

/// Most requests that this daemon may have at an endpoint `elapsed` after the end of a backoff;
/// `accepted`: those that it had there when the endpoint requested the backoff.
[[nodiscard]] std::uint64_t restart_limit(std::uint32_t accepted, core::duration elapsed);

} // namespace ej::forwarding
