#pragma once

#include "frame_kind.h"

#include <peer/peer_identity.h>

#include <cstdint>
#include <optional>
#include <string>

namespace ej::peer {

/// One frame between daemons.
struct frame {
    frame_kind kind = frame_kind::message;
    std::uint64_t request_number = 0; ///< Pairs an answer with its request.
    std::string payload;
    peer_identity sender; ///< Set in challenges only.
};

/// Encodes the frame as CBOR.
[[nodiscard]] std::string encode(const frame& value);

/// Decodes CBOR; unknown fields are skipped. nullopt when a field is missing or has another type.
[[nodiscard]] std::optional<frame> decode(const std::string& bytes);

} // namespace ej::peer
