#include <membership/endpoint_health.h>

#include <algorithm>

namespace ej::membership {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

endpoint_health after_contact(const endpoint_health& before, core::instant now)
{
    return {std::max(before.last_contact, now), now, 0};
}

endpoint_health after_failure(const endpoint_health& before, core::instant now,
                              const endpoint_settings& settings)
{
    const auto doublings = std::min(before.failures, max_doublings);
    const auto wait = std::min(settings.first_backoff * (1U << doublings), settings.max_backoff);
    return {before.last_contact, now + wait, before.failures + 1};
}

} // namespace ej::membership
