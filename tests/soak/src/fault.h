#pragma once

#include "fault_kind.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::soak {

/// A planned fault: what to inject, when and for how long.
struct fault {
    std::chrono::milliseconds at{}; ///< Offset from the start of the plan.
    std::chrono::milliseconds length{};
    fault_kind kind = fault_kind::kill_daemon;
    std::size_t target = 0;    ///< Index of a daemon or an endpoint, modulo their number.
    bool reloads_late = false; ///< SIGHUP `length` after the SIGTERM of `stop_daemon`.

    friend auto operator<=>(const fault&, const fault&) = default;
};

/// True if callers send requests with a prompt part on which engines crash during `seed`.
[[nodiscard]] bool has_crashing_part(std::uint64_t seed);

/// True if endpoints leave by their answers alone and ask for pauses during `seed`.
[[nodiscard]] bool has_endpoint_signals(std::uint64_t seed);

/// True if a version of the application whose answers are failures is rolled out during `seed`.
[[nodiscard]] bool has_bad_version(std::uint64_t seed);

/// True if crowds of clients outside the limits press the daemons during `seed`.
[[nodiscard]] bool has_crowds(std::uint64_t seed);

/// The faults for `seed`, ordered by start time within `length`. Faults may overlap.
[[nodiscard]] std::vector<fault> make_plan(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace ej::soak
