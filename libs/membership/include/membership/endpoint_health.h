#pragma once

#include <membership/endpoint_settings.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::membership {

/// Contacts and failed connections between this daemon and an endpoint. Not sent to other daemons:
/// a failure may be due to the link between the two.
struct endpoint_health {
    core::instant last_contact;
    core::instant retry_at; ///< No new work is sent before.
    std::uint32_t failures = 0;

    friend auto operator<=>(const endpoint_health&, const endpoint_health&) = default;
};

/// The health after an answer at `now`.
[[nodiscard]] endpoint_health after_contact(const endpoint_health& before, core::instant now);

/// The health after a failed connection at `now`: the backoff doubles with each consecutive
/// failure.
[[nodiscard]] endpoint_health after_failure(const endpoint_health& before, core::instant now,
                                            const endpoint_settings& settings);

} // namespace ej::membership
