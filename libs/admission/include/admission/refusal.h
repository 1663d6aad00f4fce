#pragma once

#include <core/instant.h>
#include <core/refusal_reason.h>

#include <compare>

namespace ej::admission {

/// Why a request was not run, and when the caller may retry.
struct refusal {
    core::refusal_reason reason = core::refusal_reason::queue_full;
    core::duration retry_after{}; ///< From now; > 0.

    friend auto operator<=>(const refusal&, const refusal&) = default;
};

} // namespace ej::admission
