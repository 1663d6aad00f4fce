#pragma once

#include <peer_wire/message.h>

#include <core/findings.h>

#include <optional>
#include <string>

namespace ej::peer_wire {

/// Encodes the message as CBOR: {"v": version, "k": kind, "b": body}.
[[nodiscard]] std::string encode(const message& value);

/// Decodes a message and adds each fault to `faults`. Ignores unknown fields. Returns nullopt on a
/// fault, and nullopt without a fault when the kind or the version is unknown.
[[nodiscard]] std::optional<message> parse_message(const std::string& bytes,
                                                   core::findings& faults);

} // namespace ej::peer_wire
