#pragma once

#include <signal.h>

namespace ej::soak {

/// From then on, the endpoint's answers say that it leaves.
inline constexpr int leave_signal = SIGUSR1;

/// The endpoint refuses all requests for 1.5 s and asks for a pause that long.
inline constexpr int pause_signal = SIGUSR2;

} // namespace ej::soak
