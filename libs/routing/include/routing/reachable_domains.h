#pragma once

#include <core/failure_domain_id.h>

#include <compare>
#include <vector>

namespace ej::routing {

/// The failure domains that a daemon can reach: its own and the remote ones.
struct reachable_domains {
    core::failure_domain_id local;
    std::vector<core::failure_domain_id> remote; ///< Those with a working link, nearest first.

    friend auto operator<=>(const reachable_domains&, const reachable_domains&) = default;
};

} // namespace ej::routing
