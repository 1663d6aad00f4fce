#pragma once

#include <config/tail.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// The log of changes as stored in the platform's service.
struct stored_tail {
    core::revision key_revision; ///< For compare-and-swap; 0: absent.
    tail log;

    friend auto operator<=>(const stored_tail&, const stored_tail&) = default;
};

} // namespace ej::config
