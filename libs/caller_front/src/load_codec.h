#pragma once

#include <forwarding/load_message.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ej::front {

/// A load message as a datagram: CBOR.
[[nodiscard]] std::vector<std::uint8_t> encode(const forwarding::load_message& message);

/// Reads a datagram. Error: InvalidArgument for anything but a load message.
[[nodiscard]] absl::StatusOr<forwarding::load_message>
decode_load(std::span<const std::uint8_t> bytes);

} // namespace ej::front
