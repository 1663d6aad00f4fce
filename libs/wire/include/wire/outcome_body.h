#pragma once

#include <string>
#include <string_view>

namespace ej::wire {

/// The JSON body of a request that was done. `result` is embedded as JSON when it is JSON, else as
/// a text.
[[nodiscard]] std::string done_body(std::string_view result);

/// The JSON body of a request whose outcome is not known, or that failed.
[[nodiscard]] std::string outcome_body(std::string_view outcome, std::string_view reason);

} // namespace ej::wire
