#pragma once

#include "fault_kind.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::soak {

/// A fault of a plan.
struct fault {
    std::chrono::milliseconds at{}; ///< Since the start.
    std::chrono::milliseconds length{};
    fault_kind kind = fault_kind::kill_daemon;
    std::size_t target = 0; ///< Number of a daemon or endpoint, as the kind needs.

    friend auto operator<=>(const fault&, const fault&) = default;
};

/// The faults of `seed` within `length`, in order: they come in series and overlap.
[[nodiscard]] std::vector<fault> make_plan(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace ej::soak
