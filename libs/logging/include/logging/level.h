#pragma once

#include <optional>
#include <string_view>

namespace ej::logging {

/// Severity of a log line.
enum class level { debug, info, warn, error };

/// The level with this name; empty if there is none.
[[nodiscard]] std::optional<level> parse_level(std::string_view name);

} // namespace ej::logging
