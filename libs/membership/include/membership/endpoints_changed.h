#pragma once

#include <membership/endpoint_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// Event: entries changed through this daemon's own sources, the endpoints or the platform's list.
struct endpoints_changed {
    std::vector<endpoint_entry> entries;

    friend auto operator<=>(const endpoints_changed&, const endpoints_changed&) = default;
};

} // namespace ej::membership
