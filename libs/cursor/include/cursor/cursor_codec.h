#pragma once

#include <cursor/stream_cursor.h>

#include <seal/sealer.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::cursor {

/// Writes cursors as event ids and reads them back. Immutable; thread-safe.
class cursor_codec {
public:
    explicit cursor_codec(const seal::secrets& keys);

    /// The part of the id that all events of an attempt share.
    [[nodiscard]] std::string seal_place(const attempt_place& place) const;

    /// The id of an event after which `next` follows.
    [[nodiscard]] static std::string event_id(std::string_view sealed_place,
                                              core::token_offset next, core::digest text);

    /// The cursor, or nothing when the id is not one of this fleet.
    [[nodiscard]] std::optional<stream_cursor> open(std::string_view event_id) const;

private:
    seal::sealer sealer_;
};

} // namespace ej::cursor
