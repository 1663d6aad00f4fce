#pragma once

namespace ej::front {

/// Why a request cannot be read.
enum class request_fault {
    malformed,
    unknown_coding, ///< Its body has a transfer coding besides chunks.
    header_too_large,
    body_too_large
};

} // namespace ej::front
