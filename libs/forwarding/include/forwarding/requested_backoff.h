#pragma once

#include <core/incarnation_id.h>
#include <core/instant.h>

#include <algorithm>
#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// A period for which an incarnation of an endpoint asked this daemon to send nothing.
struct requested_backoff {
    core::incarnation_id incarnation; ///< Any other incarnation may be used.
    core::instant until{};
    std::uint32_t accepted = 0; ///< This daemon's requests that the endpoint had accepted then.

    /// The period after `next` was requested: the latest end counts. A request by another
    /// incarnation replaces the period.
    [[nodiscard]] requested_backoff extended_by(const requested_backoff& next) const
    {
        const bool same = incarnation == next.incarnation;
        return {next.incarnation, same ? std::max(until, next.until) : next.until, next.accepted};
    }

    friend auto operator<=>(const requested_backoff&, const requested_backoff&) = default;
};

} // namespace ej::forwarding
