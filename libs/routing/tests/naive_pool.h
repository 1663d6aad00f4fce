#pragma once

#include <routing/estimate.h>
#include <routing/view_changes.h>

#include <limits/spare_share.h>

#include <algorithm>
#include <map>
#include <vector>

namespace ej::routing {

/// Reference implementation of the pool: a map that is scanned completely for each query.
struct naive_pool {
    std::map<core::endpoint_id, endpoint_view> views;
    limits::spare_share limiter;

    void unblock(core::instant now)
    {
        for (auto& [name, view] : views) {
            if (view.blocked_until && *view.blocked_until <= now) {
                view = unblocked(view);
            }
        }
    }

    [[nodiscard]] std::vector<core::endpoint_id> open(bool urgent) const
    {
        std::vector<core::endpoint_id> names;
        for (const auto& [name, view] : views) {
            if (has_room(view, urgent)) {
                names.push_back(name);
            }
        }
        return names;
    }

    /// True if `chosen` is a valid choice of a router.
    [[nodiscard]] bool allows(const std::optional<core::endpoint_id>& chosen, bool urgent) const
    {
        auto names = open(false);
        if (names.empty() && urgent) {
            names = open(true);
        }
        return chosen ? std::ranges::count(names, *chosen) == 1 : names.empty();
    }
};

} // namespace ej::routing
