#pragma once

#include <core/class_id.h>
#include <core/findings.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ej::wire {

inline constexpr std::uint32_t max_tokens_bound = 1'000'000;

/// A caller's request to generate text.
struct generation_request {
    core::class_id work_class;
    std::string prompt;
    std::uint32_t max_tokens = 0;       ///< 1 to max_tokens_bound.
    std::vector<std::string> delivered; ///< Tokens the caller already has; set to resume a stream.

    friend auto operator<=>(const generation_request&, const generation_request&) = default;
};

/// Parses the body of POST /v1/generations; adds each fault to `faults`.
[[nodiscard]] generation_request parse_generation_request(std::string_view body,
                                                          core::findings& faults);

} // namespace ej::wire
