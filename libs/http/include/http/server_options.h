#pragma once

#include <core/instant.h>

#include <chrono>
#include <cstddef>

namespace ej::http {

inline constexpr std::size_t default_max_request_bytes = std::size_t{1} << 20;

/// Bounds of a server's connections.
struct server_options {
    std::size_t max_body_bytes = default_max_request_bytes;    ///< Longest accepted body; else 413.
    core::duration request_timeout = std::chrono::seconds(10); ///< To send a whole request.
    core::duration idle_timeout = std::chrono::seconds(60);    ///< Between requests.
    core::duration write_timeout = std::chrono::seconds(30);   ///< For a caller that does not read.
};

} // namespace ej::http
