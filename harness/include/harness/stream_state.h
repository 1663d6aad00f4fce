#pragma once

namespace ej::harness {

/// State of a client's generation stream.
enum class stream_state {
    flowing,
    ended,  ///< An end event arrived.
    failed, ///< An error event or a status other than 200 arrived.
    broken  ///< The connection broke before an end or error event.
};

} // namespace ej::harness
