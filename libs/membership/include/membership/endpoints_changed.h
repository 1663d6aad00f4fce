#pragma once

#include <membership/endpoint_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// This daemon learned of endpoints on its own: from them or from the platform's list.
struct endpoints_changed {
    std::vector<endpoint_entry> entries;

    friend auto operator<=>(const endpoints_changed&, const endpoints_changed&) = default;
};

} // namespace ej::membership
