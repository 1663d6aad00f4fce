#pragma once

#include <peer_wire/message_kind.h>

#include <compare>
#include <string>

namespace ej::peer_wire {

/// A message whose payload another library encodes: every kind except the membership kinds.
struct opaque_message {
    message_kind kind = message_kind::config_digest;
    std::string payload; ///< Any bytes.

    friend auto operator<=>(const opaque_message&, const opaque_message&) = default;
};

} // namespace ej::peer_wire
