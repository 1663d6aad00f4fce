#pragma once

#include "connection_phase.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace ej::front {

/// The state in which a caller's connection ended.
struct connection_summary {
    connection_phase phase = connection_phase::idle;
    std::string request;          ///< Identifier of the latest whole request.
    std::uint64_t answered = 0;   ///< Requests whose answer was sent.
    std::size_t bytes_unused = 0; ///< Received from the caller and not part of a whole request.
    std::size_t bytes_unread = 0; ///< Waiting in the socket.

    friend auto operator<=>(const connection_summary&, const connection_summary&) = default;
};

/// True if the caller may still expect an answer.
[[nodiscard]] bool outstanding(const connection_summary& ended);

} // namespace ej::front
