#pragma once

#include <admission/refused_claim.h>

#include <core/class_id.h>
#include <fairness/queued_request.h>

#include <compare>
#include <optional>
#include <vector>

namespace ej::admission {

/// Result of taking the next request to run from a queue.
struct grant {
    core::class_id work_class;
    std::optional<fairness::queued_request> granted;
    std::vector<refused_claim> dropped; ///< Requests that could not meet their target; not run.

    friend auto operator<=>(const grant&, const grant&) = default;
};

} // namespace ej::admission
