#pragma once

#include <core/instant.h>

#include <chrono>
#include <cstddef>

namespace ej::http {

inline constexpr std::size_t default_max_request_bytes = std::size_t{1} << 20;
inline constexpr std::size_t default_request_memory = std::size_t{64} << 20;
inline constexpr std::size_t default_max_connections = 1'024;

/// Limits of a server's connections.
struct server_options {
    std::size_t max_body_bytes = default_max_request_bytes; ///< A longer body is refused with 413.
    /// Bytes that the requests of all connections may take together; one request always fits. Of
    /// those that exceed it, the one that has waited longest for its client is refused with 503.
    std::size_t request_memory = default_request_memory;
    /// Most connections; from 1. Beyond it, the one that has waited longest is closed.
    std::size_t max_connections = default_max_connections;
    int receive_buffer_bytes = 0; ///< Of a connection, in the kernel; 0: as the kernel chooses.
    core::duration request_timeout = std::chrono::seconds(10); ///< To receive a whole request.
    core::duration idle_timeout = std::chrono::seconds(60);    ///< Between requests.
    core::duration write_timeout =
        std::chrono::seconds(30); ///< A write fails if the caller reads nothing for it.
};

} // namespace ej::http
