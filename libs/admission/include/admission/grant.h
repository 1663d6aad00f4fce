#pragma once

#include <admission/refused_claim.h>

#include <core/class_id.h>
#include <fairness/claim.h>

#include <compare>
#include <optional>
#include <vector>

namespace ej::admission {

/// The effects of asking for the next request to run.
struct grant {
    core::class_id work_class;
    std::optional<fairness::claim> granted;
    std::vector<refused_claim> dropped; ///< Found too late to meet the target; did not run.

    friend auto operator<=>(const grant&, const grant&) = default;
};

} // namespace ej::admission
