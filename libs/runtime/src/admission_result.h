#pragma once

#include <admission/refusal.h>
#include <routing/endpoint_assignment.h>

#include <compare>
#include <optional>

namespace ej::runtime {

/// The result of a request's wait: a placement at an endpoint, or a refusal.
struct admission_result {
    std::optional<routing::endpoint_assignment> placed;
    admission::refusal refused; ///< Valid if `placed` is empty.

    friend auto operator<=>(const admission_result&, const admission_result&) = default;
};

} // namespace ej::runtime
