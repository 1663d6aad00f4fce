#pragma once

#include <logging/field.h>
#include <logging/level.h>
#include <logging/output.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace ej::logging {

/// Starts logging to `where`, one line per entry: time, level, message, name=value fields. Entries
/// below `lowest` are left out.
void start(level lowest, output where = output::standard_error);

/// Lines dropped so far because the reader did not keep up.
[[nodiscard]] std::uint64_t dropped_lines();

/// Ends logging; queued lines are written as far as the reader accepts them at once.
void stop();

/// Writes a line; does nothing before `start`. Thread-safe.
void log(level severity, std::string_view message, const std::vector<field>& fields = {});

} // namespace ej::logging
