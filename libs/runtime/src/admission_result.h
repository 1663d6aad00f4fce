#pragma once

#include <admission/refusal.h>
#include <routing/placement.h>

#include <compare>
#include <optional>

namespace ej::runtime {

/// How a request's wait ended: at an endpoint, or refused.
struct admission_result {
    std::optional<routing::placement> placed;
    admission::refusal refused; ///< Holds when `placed` is empty.

    friend auto operator<=>(const admission_result&, const admission_result&) = default;
};

} // namespace ej::runtime
