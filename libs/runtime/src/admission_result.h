#pragma once

#include <admission/refusal.h>
#include <routing/placement.h>

#include <compare>
#include <optional>

namespace ej::runtime {

/// The result of a request's wait: a placement at an endpoint, or a refusal.
struct admission_result {
    std::optional<routing::placement> placed;
    admission::refusal refused; ///< Valid if `placed` is empty.

    friend auto operator<=>(const admission_result&, const admission_result&) = default;
};

} // namespace ej::runtime
