#pragma once

#include <forwarding/backend.h>

#include <core/work_kind.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::forwarding {

/// How requests for one host and path prefix are forwarded.
struct route {
    std::string name;
    std::string host;   ///< Lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    core::work_kind kind = core::work_kind::non_idempotent;
    std::vector<backend> backends;           ///< At least one.
    std::chrono::milliseconds timeout{};     ///< Longest time to the complete response; > 0.
    std::chrono::milliseconds target{};      ///< Time to the first output that users expect.
    std::chrono::milliseconds longest_gap{}; ///< Between events of a stream; 0: not set.
    std::uint32_t max_attempts = 1;          ///< How many endpoints may run one request.
    std::uint32_t priority = 0;              ///< 0 is the most urgent.
    bool needs_key = true;                   ///< False: callers without a key are served too.
    bool resumable = false;                  ///< A stream may be resumed at another endpoint.

    friend auto operator<=>(const route&, const route&) = default;
};

} // namespace ej::forwarding
