#pragma once

namespace ej::http {

/// Why the header of a message does not delimit its body beyond doubt (RFC 9112, 2.2, 5 and 6).
enum class framing_fault {
    none,
    malformed,     ///< Recipients could delimit the message in different ways.
    unknown_coding ///< The body ends with a last chunk, but has a further transfer coding.
};

} // namespace ej::http
