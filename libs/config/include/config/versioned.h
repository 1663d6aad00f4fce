#pragma once

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// A value and the revision that last changed it.
template <class T>
struct versioned {
    T value;
    core::revision changed;

    friend auto operator<=>(const versioned&, const versioned&) = default;
};

} // namespace ej::config
