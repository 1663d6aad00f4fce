#pragma once

#include <config/change.h>

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// An accepted change and the revision that it made.
struct committed_change {
    core::revision revision;
    change made;

    friend auto operator<=>(const committed_change&, const committed_change&) = default;
};

} // namespace ej::config
