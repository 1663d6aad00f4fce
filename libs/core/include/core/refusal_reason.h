#pragma once

#include <array>
#include <string_view>

namespace ej::core {

/// Why a request was answered without a result.
enum class refusal_reason {
    unauthenticated,
    malformed,
    too_large,
    unknown_class,
    queue_full,
    target_unreachable, ///< The predicted finish is later than the class's target.
    waited_too_long,
    over_share,
    no_endpoint,
    suspect, ///< Endpoints died while running it.
    draining,
    platform_unavailable,
    key_conflict, ///< The key was used for another request.
    expired
};

inline constexpr std::size_t refusal_reason_count = 14;

/// Every reason, in order.
[[nodiscard]] const std::array<refusal_reason, refusal_reason_count>& all_refusal_reasons();

/// The name used in messages and metrics.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

} // namespace ej::core
