#pragma once

#include <string>
#include <string_view>

namespace ej::wire {

/// The JSON body for a request that completed. `result` is embedded as JSON when it is valid JSON,
/// else as a string.
[[nodiscard]] std::string done_body(std::string_view result);

/// The JSON body for a request that failed or whose outcome is unknown.
[[nodiscard]] std::string outcome_body(std::string_view outcome, std::string_view reason);

} // namespace ej::wire
