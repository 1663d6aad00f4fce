#pragma once

#include "peer_message.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ej::front {

/// A message as a datagram: CBOR.
[[nodiscard]] std::vector<std::uint8_t> encode(const peer_message& message);

/// Reads a datagram. Error: InvalidArgument for anything else.
[[nodiscard]] absl::StatusOr<peer_message> decode_peer(std::span<const std::uint8_t> bytes);

} // namespace ej::front
