#pragma once

#include <cursor/stream_cursor.h>

#include <seal/sealer.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::cursor {

/// Encodes cursors as event ids and decodes them. Immutable; thread-safe.
class cursor_codec {
public:
    explicit cursor_codec(const seal::secrets& keys);

    /// Returns the part of the event id that is common to all events of an attempt.
    [[nodiscard]] std::string seal_location(const attempt_location& location) const;

    /// Returns the id of the event that precedes the token at `next`. `text` is the digest of the
    /// text before `next`.
    [[nodiscard]] static std::string event_id(std::string_view sealed_location,
                                              core::token_offset next, core::digest text);

    /// Decodes an event id. Empty if it was not created by this fleet.
    [[nodiscard]] std::optional<stream_cursor> open(std::string_view event_id) const;

private:
    seal::sealer sealer_;
};

} // namespace ej::cursor
