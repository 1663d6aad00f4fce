#pragma once

#include <admission/refused_claim.h>

#include <compare>
#include <optional>

namespace ej::admission {

/// Result of submitting a request. The request is queued unless `refused` is set.
struct submit_result {
    std::optional<refusal> refused;       ///< Why the request itself was not queued.
    std::optional<refused_claim> evicted; ///< A waiting request removed to make room for it.

    friend auto operator<=>(const submit_result&, const submit_result&) = default;
};

} // namespace ej::admission
