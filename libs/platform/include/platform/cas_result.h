#pragma once

#include <platform/cas_outcome.h>

#include <core/revision.h>

#include <compare>

namespace ej::platform {

/// The answer to a compare-and-swap.
struct cas_result {
    cas_outcome outcome = cas_outcome::unknown;
    core::revision revision; ///< Applied: the key's new revision; conflict: its present one.

    friend auto operator<=>(const cas_result&, const cas_result&) = default;
};

} // namespace ej::platform
