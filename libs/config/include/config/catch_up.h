#pragma once

#include <config/catch_up_state.h>
#include <config/change_log.h>
#include <config/configuration.h>

namespace ej::config {

/// Compares the end of `log` with `in_force`.
[[nodiscard]] catch_up_state compare(const configuration& in_force, const change_log& log);

/// `in_force` with the later changes of `log` applied; unchanged unless `compare` returns
/// `advanced`.
[[nodiscard]] configuration catch_up(const configuration& in_force, const change_log& log);

} // namespace ej::config
