#pragma once

#include <platform/lease_id.h>

#include <chrono>
#include <compare>

namespace ej::platform {

/// A lease and its time to live without renewal.
struct granted_lease {
    lease_id lease;
    std::chrono::milliseconds time_to_live{};

    friend auto operator<=>(const granted_lease&, const granted_lease&) = default;
};

} // namespace ej::platform
