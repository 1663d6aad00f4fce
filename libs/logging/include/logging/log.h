#pragma once

#include <logging/field.h>
#include <logging/level.h>

#include <string_view>
#include <vector>

namespace ej::logging {

/// Starts logging to standard error, one line an entry: time, level, message, name=value fields.
void start(level lowest);

/// Writes a line. Thread-safe; nothing before `start`.
void log(level how, std::string_view message, const std::vector<field>& fields = {});

} // namespace ej::logging
