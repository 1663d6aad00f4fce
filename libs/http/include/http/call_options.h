#pragma once

#include <http/body_pace.h>

#include <core/instant.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace ej::http {

inline constexpr std::size_t default_max_body_bytes = std::size_t{4} << 20;

/// Limits of one call.
struct call_options {
    core::duration deadline = std::chrono::seconds(5); ///< For the whole call; > 0.
    std::optional<body_pace> pace; ///< Set: the deadline ends with the answer's header.
    core::duration connect_timeout = std::chrono::seconds(1); ///< For the connection alone; > 0.
    std::size_t max_body_bytes = default_max_body_bytes;      ///< Longest accepted body.
    bool reuse_connection = true; ///< False: only a connection opened for this call.
};

} // namespace ej::http
