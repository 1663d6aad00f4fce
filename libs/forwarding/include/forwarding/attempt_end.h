#pragma once

#include <cstddef>
#include <string_view>

namespace ej::forwarding {

/// How an attempt at one endpoint ended without an answer that can be passed on as a success.
enum class attempt_end {
    not_sent,     ///< No byte of the request can have reached the endpoint.
    not_executed, ///< The endpoint says that it did not run the request.
    misdirected,  ///< Another endpoint has the address; it did not run the request.
    failed,       ///< The endpoint ran the request and answered with a failure.
    spoiled,      ///< The answer is unsigned, incomplete or no HTTP.
    broken,       ///< The connection broke after sending began.
    silent        ///< Nothing came for longer than a healthy endpoint needs.
};

inline constexpr std::size_t attempt_end_count = 7;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(attempt_end end);

/// True if the endpoint may have begun to run the request.
[[nodiscard]] bool may_have_run(attempt_end end);

} // namespace ej::forwarding
