#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace ej::wire {

/// The JSON body of a refused request: not run, why, and when to try again.
[[nodiscard]] std::string refusal_body(std::string_view reason, std::string_view detail,
                                       std::chrono::milliseconds retry_after);

} // namespace ej::wire
