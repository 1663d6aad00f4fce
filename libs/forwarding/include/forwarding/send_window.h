#pragma once

#include <core/instant.h>

#include <deque>

namespace ej::forwarding {

/// Times of the sends to one service within the budget's window.
struct send_window {
    std::deque<core::instant> first_sends;
    std::deque<core::instant> further_sends;
    core::instant lending_since{}; ///< Begin of the current interval of sends from the shared part.
    double lent = 0;               ///< Sends from the shared part in that interval.
};

} // namespace ej::forwarding
