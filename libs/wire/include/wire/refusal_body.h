#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace ej::wire {

/// The JSON body for a request that was refused and not run: the reason and when to retry.
[[nodiscard]] std::string refusal_body(std::string_view reason, std::string_view detail,
                                       std::chrono::milliseconds retry_after);

} // namespace ej::wire
