#pragma once

#include <config/peer_message.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace ej::config_wire {

/// Encodes a message between daemons as CBOR.
[[nodiscard]] std::string encode_peer_message(const config::peer_message& message);

/// Decodes the output of `encode_peer_message`; ignores unknown fields. Error: InvalidArgument,
/// listing every fault with its place.
[[nodiscard]] absl::StatusOr<config::peer_message> parse_peer_message(std::string_view bytes);

} // namespace ej::config_wire
