#pragma once

#include <cursor/attempt_location.h>

#include <core/digest.h>
#include <core/token_offset.h>

#include <compare>

namespace ej::cursor {

/// Position in a streamed answer from which any daemon can resume it.
struct stream_cursor {
    attempt_location location;
    core::token_offset next; ///< Offset of the first token that the caller has not received.
    core::digest text;       ///< Digest of the text before `next`.

    friend auto operator<=>(const stream_cursor&, const stream_cursor&) = default;
};

} // namespace ej::cursor
