#pragma once

#include <config/catch_up_state.h>
#include <config/configuration.h>
#include <config/tail.h>

namespace ej::config {

/// Relates `log` to `in_force`.
[[nodiscard]] catch_up_state compare(const configuration& in_force, const tail& log);

/// `in_force` with the later changes of `log`; unchanged unless `compare` says `advanced`.
[[nodiscard]] configuration catch_up(const configuration& in_force, const tail& log);

} // namespace ej::config
