#pragma once

#include <optional>
#include <string_view>

namespace ej::logging {

/// How much a log line matters.
enum class level { debug, info, warn, error };

/// The level called `name`, if any.
[[nodiscard]] std::optional<level> parse_level(std::string_view name);

} // namespace ej::logging
