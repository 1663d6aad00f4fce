#pragma once

#include <compare>

namespace ej::soak {

/// What a seed adds to the faults.
struct soak_variant {
    bool engines_crash = false; ///< Engines crash on a prompt part, without proxies before them.
    bool bad_version = false;   ///< A version of the application that always fails is rolled out.
    bool crowds = false;        ///< Daemons accept few callers; crowds press them.

    friend auto operator<=>(const soak_variant&, const soak_variant&) = default;
};

} // namespace ej::soak
