#pragma once

#include <cstddef>
#include <string_view>

namespace ej::front {

/// Why the daemon stopped serving a caller's connection.
enum class connection_end {
    caller_closed, ///< The caller closed it, or its sending half.
    read_failed,   ///< It broke.
    idle_timeout,  ///< No request arrived within the idle limit.
    leaving,       ///< The daemon shuts down, and no request is being served.
    answer_sent,   ///< The last answer announced the close.
    write_failed,  ///< An answer could not be sent.
    write_timeout, ///< The caller did not read its answer.
    output_limit,  ///< The caller read its stream too slowly.
    call_aborted,  ///< The call broke off its answer.
    overload       ///< Callers exceeded a limit together, see `caller_table`.
};

inline constexpr std::size_t connection_end_count = 10;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(connection_end end);

} // namespace ej::front
