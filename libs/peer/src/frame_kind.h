#pragma once

namespace ej::peer {

/// Kind of a frame between daemons. The numbers are part of the protocol.
enum class frame_kind {
    challenge = 1, ///< payload: nonce; name and address of the sender.
    proof = 2,     ///< payload: MAC over both nonces.
    message = 3,
    request = 4,
    answer = 5
};

} // namespace ej::peer
