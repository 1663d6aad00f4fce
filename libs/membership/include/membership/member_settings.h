#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::membership {

/// Bounds on what is believed of daemons.
struct member_settings {
    core::duration suspect_timeout = std::chrono::seconds(5); ///< For a suspect to refute it.
    core::duration forget_after = std::chrono::hours(1);      ///< Dead daemons are forgotten.

    friend auto operator<=>(const member_settings&, const member_settings&) = default;
};

} // namespace ej::membership
