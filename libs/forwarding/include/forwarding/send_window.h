#pragma once

#include <core/instant.h>

#include <deque>

namespace ej::forwarding {

/// Times of the sends to one service within the budget's window.
struct send_window {
    std::deque<core::instant> first_sends;
    std::deque<core::instant> further_sends;
};

} // namespace ej::forwarding
