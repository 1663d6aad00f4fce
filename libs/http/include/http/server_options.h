#pragma once

#include <core/instant.h>

#include <chrono>
#include <cstddef>

namespace ej::http {

inline constexpr std::size_t default_max_request_bytes = std::size_t{1} << 20;

/// Limits of a server's connections.
struct server_options {
    std::size_t max_body_bytes = default_max_request_bytes; ///< A longer body is refused with 413.
    core::duration request_timeout = std::chrono::seconds(10); ///< To receive a whole request.
    core::duration idle_timeout = std::chrono::seconds(60);    ///< Between requests.
    core::duration write_timeout =
        std::chrono::seconds(30); ///< A write fails if the caller reads nothing for it.
};

} // namespace ej::http
