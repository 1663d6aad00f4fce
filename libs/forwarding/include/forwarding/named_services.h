#pragma once

#include <core/instant.h>
#include <core/service_id.h>

#include <map>
#include <optional>
#include <set>

namespace ej::forwarding {

/// The services that the configuration names, and for a while those that earlier ones named. Not
/// thread-safe.
class named_services {
public:
    /// Time for which a service that the configuration no longer names is kept.
    static constexpr core::duration retention = std::chrono::minutes(2);

    /// Replaces the names. Returns true if a service was added.
    bool replace(const std::set<core::service_id>& named, core::instant now);

    [[nodiscard]] bool contains(const core::service_id& service) const
    {
        return dropped_at_.contains(service);
    }

    /// Forgets the services that were dropped `retention` ago. Returns true if there were any.
    bool expire(core::instant now);

private:
    std::map<core::service_id, std::optional<core::instant>> dropped_at_;
};

} // namespace ej::forwarding
