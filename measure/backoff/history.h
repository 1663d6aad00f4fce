#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ej::measure {

/// What happens to a service during one run of 20 s.
struct history {
    std::string_view name;
    double load = 0.7;                          ///< Of the capacity.
    double burst = 0.7;                         ///< The same, from 5 s to 15 s.
    std::chrono::milliseconds retry_after{500}; ///< Requested by an endpoint that is full.
    std::size_t warming = 0;                    ///< Endpoints that refuse everything from 5 s on.
    std::chrono::milliseconds warming_time{};   ///< And for how long; requested as Retry-After.
    std::size_t daemons = 6;
    std::uint32_t slots = 4;    ///< Of an endpoint; half as many more may wait.
    double run_ms = 40;         ///< Mean time that a request runs.
    std::size_t per_daemon = 0; ///< Most requests of one daemon at an endpoint; 0: no limit.
};

} // namespace ej::measure
