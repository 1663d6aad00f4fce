#pragma once

#include <logging/field.h>
#include <logging/level.h>
#include <logging/output.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace ej::logging {

/// Starts logging to `where`, one line an entry: time, level, message, name=value fields.
void start(level lowest, output where = output::standard_error);

/// Lines dropped so far, since the reader did not keep up.
[[nodiscard]] std::uint64_t dropped_lines();

/// Ends logging; queued lines are written as far as the reader takes them.
void stop();

/// Writes a line. Thread-safe; nothing before `start`.
void log(level severity, std::string_view message, const std::vector<field>& fields = {});

} // namespace ej::logging
