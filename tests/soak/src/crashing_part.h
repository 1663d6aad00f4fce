#pragma once

namespace ej::soak {

/// The prompt part on which engines crash.
inline constexpr auto crashing_part = "dead0001";

/// Exit code of an engine that crashed on it.
inline constexpr int crash_exit_code = 3;

} // namespace ej::soak
