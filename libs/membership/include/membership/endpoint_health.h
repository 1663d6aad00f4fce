#pragma once

#include <membership/endpoint_settings.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::membership {

/// This daemon's own experience of an endpoint. Not shared: a failed connection may be the fault of
/// the link between the two.
struct endpoint_health {
    core::instant last_contact;
    core::instant retry_at; ///< Gets nothing before it.
    std::uint32_t failures = 0;

    friend auto operator<=>(const endpoint_health&, const endpoint_health&) = default;
};

/// After an answer at `now`.
[[nodiscard]] endpoint_health after_contact(const endpoint_health& before, core::instant now);

/// After a failed connection at `now`: the wait doubles with each failure in a row.
[[nodiscard]] endpoint_health after_failure(const endpoint_health& before, core::instant now,
                                            const endpoint_settings& settings);

} // namespace ej::membership
