#include "lease_table.h"

namespace ej::stand_ins {

std::string lease_table::grant(std::chrono::milliseconds ttl, time_point now)
{
    const std::string lease = "lease-" + std::to_string(++granted_);
    terms_.with(lease, [&](auto& terms) { terms[lease] = term{ttl, now + ttl}; });
    return lease;
}

bool lease_table::renew(const std::string& lease, time_point now)
{
    return terms_.with(lease, [&](auto& terms) {
        const auto found = terms.find(lease);
        if (found == terms.end() || found->second.end <= now) {
            return false;
        }
        found->second.end = now + found->second.ttl;
        return true;
    });
}

bool lease_table::is_active(const std::string& lease)
{
    return terms_.with(lease, [&](const auto& terms) { return terms.contains(lease); });
}

std::optional<lease_table::time_point> lease_table::remove_if_expired(const std::string& lease,
                                                                      time_point now)
{
    return terms_.with(lease, [&](auto& terms) -> std::optional<time_point> {
        const auto found = terms.find(lease);
        if (found == terms.end()) {
            return std::nullopt;
        }
        if (found->second.end > now) {
            return found->second.end;
        }
        terms.erase(found);
        return std::nullopt;
    });
}

} // namespace ej::stand_ins
