#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::forwarding {

/// The limit on further sends, summed over all daemons.
struct retry_budget_settings {
    double ratio = 0.2;    ///< Further sends per first send; >= 0.
    double allowance = 10; ///< Further sends in addition to the ratio; >= 0.
    core::duration window = std::chrono::seconds(10); ///< Sliding; > 0.

    friend auto operator<=>(const retry_budget_settings&, const retry_budget_settings&) = default;
};

} // namespace ej::forwarding
