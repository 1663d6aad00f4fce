#pragma once

#include "peer_message.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ej::front {

/// Encodes a message as a CBOR datagram.
[[nodiscard]] std::vector<std::uint8_t> encode(const peer_message& message);

/// Decodes a datagram. Error: InvalidArgument when it is not a valid message.
[[nodiscard]] absl::StatusOr<peer_message> decode_peer(std::span<const std::uint8_t> bytes);

} // namespace ej::front
