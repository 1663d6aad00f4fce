#pragma once

#include <forwarding/key_holder.h>
#include <forwarding/route.h>
#include <forwarding/ruleset.h>
#include <forwarding/service_profile.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// A ruleset with indexes for lookups by host, key and service. Immutable.
class indexed_ruleset {
public:
    explicit indexed_ruleset(ruleset rules);

    [[nodiscard]] const ruleset& rules() const { return rules_; }

    /// The route of `host` with the longest prefix that matches `path`; null if there is none.
    /// `host` may include a port and upper-case letters.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// The workspace that `key` belongs to; null for an unknown key.
    [[nodiscard]] const key_holder* find_holder(std::string_view key) const;

    /// The profile of `service`; null if none is configured.
    [[nodiscard]] const service_profile* find_service(const core::service_id& service) const;

    /// True if callers of the route must send a key.
    [[nodiscard]] bool requires_key(const route& which) const;

private:
    ruleset rules_;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_; // Longest first.
    std::unordered_map<std::string, key_holder> holders_;
    std::unordered_map<core::service_id, std::size_t> services_;
};

} // namespace ej::forwarding
