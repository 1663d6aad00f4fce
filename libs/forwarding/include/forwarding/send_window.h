#pragma once

#include <core/instant.h>

#include <deque>

namespace ej::forwarding {

/// Times of the sends to one service within the budget's window.
struct send_window {
    std::deque<core::instant> firsts;
    std::deque<core::instant> repeats;
};

} // namespace ej::forwarding
