#pragma once

#include <config/tail.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// The log as the platform's service holds it.
struct stored_tail {
    core::revision key_revision; ///< For compare-and-swap; 0: absent.
    tail log;

    friend auto operator<=>(const stored_tail&, const stored_tail&) = default;
};

} // namespace ej::config
