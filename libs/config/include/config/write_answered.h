#pragma once

#include <config/cas_outcome.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// A compare-and-swap was answered or timed out.
struct write_answered {
    cas_outcome outcome = cas_outcome::unknown;
    core::revision key_revision; ///< The key's new revision when applied.

    friend auto operator<=>(const write_answered&, const write_answered&) = default;
};

} // namespace ej::config
