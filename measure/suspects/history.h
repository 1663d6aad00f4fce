#pragma once

#include <chrono>
#include <string_view>

namespace ej::measure {

/// What happens to a fleet during one run.
struct history {
    std::string_view name;
    double deadly_share = 0; ///< Of all requests, from 5 s to 29 s.
    int deadly_parts = 1;    ///< Drawn evenly by the deadly requests.
    std::chrono::milliseconds
        crash_every{};         ///< Each time, all endpoints of the next domain; 0: never.
    bool crash_once = false;   ///< Only the first of these.
    bool release = false;      ///< Endpoints are restarted one after another.
    bool cold = false;         ///< Crashes and deadly requests begin at once.
    bool cut = false;          ///< One daemon takes all endpoints for dead at 12 s.
    double lost_datagrams = 0; ///< Share of messages between daemons.
    std::chrono::milliseconds kill_every{}; ///< Each time, a third of the daemons; 0: never.
    bool kill_all = false;                  ///< All daemons at once, at 15 s.
    bool one_domain = false;                ///< All endpoints are in one failure domain.
};

} // namespace ej::measure
