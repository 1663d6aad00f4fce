#pragma once

namespace ej::peer {

/// How a request to a peer ended.
enum class call_status {
    answered,
    timed_out,   ///< No answer by the deadline; the peer may have acted.
    unreachable, ///< Not sent: no authenticated connection came about.
    lost         ///< The connection ended after the request was sent; the peer may have acted.
};

} // namespace ej::peer
