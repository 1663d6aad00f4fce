#pragma once

#include <cstddef>
#include <string_view>

namespace ej::forwarding {

/// Why an attempt at one endpoint did not produce a successful response.
enum class attempt_end {
    not_sent,     ///< No byte of the request can have reached the endpoint.
    not_executed, ///< The endpoint reported that it did not run the request.
    misdirected,  ///< A different endpoint has the address now; it did not run the request.
    failed,       ///< The endpoint ran the request and returned an error.
    spoiled,      ///< The response is unsigned, incomplete or not HTTP.
    broken,       ///< The connection was lost after sending had begun.
    silent        ///< No data arrived for longer than a healthy endpoint needs.
};

inline constexpr std::size_t attempt_end_count = 7;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(attempt_end end);

/// True if the endpoint may have begun to run the request.
[[nodiscard]] bool may_have_run(attempt_end end);

} // namespace ej::forwarding
