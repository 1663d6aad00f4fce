#pragma once

namespace ej::peer {

/// Outcome of a request to a peer.
enum class call_status {
    answered,
    timed_out,   ///< No answer by the deadline; the peer may have handled it.
    unreachable, ///< Not sent: no authenticated connection was established.
    lost         ///< The connection ended after the request was sent; the peer may have handled it.
};

} // namespace ej::peer
