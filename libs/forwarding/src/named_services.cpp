#include <forwarding/named_services.h>

#include <algorithm>

namespace ej::forwarding {

// Requests that were accepted under an earlier configuration may still wait for its services;
// `retention` exceeds their deadlines.
bool named_services::replace(const std::set<core::service_id>& named, core::instant now)
{
    for (auto& [service, dropped_at] : dropped_at_) {
        dropped_at =
            named.contains(service) ? std::nullopt : std::optional(dropped_at.value_or(now));
    }
    const auto before = dropped_at_.size();
    std::ranges::for_each(named, [&](const core::service_id& service) {
        dropped_at_.try_emplace(service, std::nullopt);
    });
    return dropped_at_.size() > before;
}

bool named_services::expire(core::instant now)
{
    return std::erase_if(dropped_at_, [&](const auto& one) {
               return one.second && now - *one.second >= retention;
           }) > 0;
}

} // namespace ej::forwarding
