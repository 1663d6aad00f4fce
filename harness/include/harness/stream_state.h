#pragma once

namespace ej::harness {

/// How a caller's stream stands.
enum class stream_state {
    flowing,
    ended,  ///< An end event came.
    failed, ///< An error event or an answer other than 200 came.
    broken  ///< The connection went without either.
};

} // namespace ej::harness
