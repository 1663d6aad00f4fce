#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::membership {

/// Timeouts for the state of daemons.
struct member_settings {
    core::duration suspect_timeout = std::chrono::seconds(5); ///< Until a suspect counts as dead.
    core::duration forget_after = std::chrono::hours(1);      ///< Until a dead one is removed.

    friend auto operator<=>(const member_settings&, const member_settings&) = default;
};

} // namespace ej::membership
