#pragma once

#include <admission/refused_claim.h>

#include <compare>
#include <optional>

namespace ej::admission {

/// The effects of handing in a request. It waits unless `refused` names it.
struct submit_result {
    std::optional<refusal> refused;       ///< Why the request itself was not taken.
    std::optional<refused_claim> evicted; ///< A request that waited and had to make room for it.

    friend auto operator<=>(const submit_result&, const submit_result&) = default;
};

} // namespace ej::admission
