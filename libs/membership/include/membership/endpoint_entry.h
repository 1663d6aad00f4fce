#pragma once

#include <membership/generation.h>

#include <core/endpoint.h>

#include <compare>

namespace ej::membership {

/// One incarnation of an endpoint as known to a daemon.
struct endpoint_entry {
    core::endpoint endpoint;
    generation
        observed_generation; ///< The incarnation with the highest generation is the present one.
    bool gone =
        false; ///< Applies to `observed_generation`; contact at a higher generation revokes it.
    bool leaving = false; ///< Accepts no new work; never revoked for an incarnation.

    friend auto operator<=>(const endpoint_entry&, const endpoint_entry&) = default;
};

} // namespace ej::membership
