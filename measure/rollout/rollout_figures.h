#pragma once

#include <rollout/rollout_phase.h>

#include <core/instant.h>

#include <cstdint>
#include <optional>

namespace ej::measure {

/// Outcome of one replayed roll-out.
struct rollout_figures {
    rollout::rollout_phase phase = rollout::rollout_phase::trial;
    core::duration ended{};     ///< Since the order; the last instant if it did not end.
    std::uint64_t requests = 0; ///< Within the order's time.
    std::uint64_t exposed = 0;  ///< Those of them at the target.
    std::uint64_t bad = 0;      ///< Bad answers of the target.
    std::optional<core::duration> fiftieth; ///< When the 50th bad answer came, since the order.
    core::duration last_send{};             ///< Of a request to the target, since the order.

    /// True if the target got no more than `share` of the requests and `slack` more.
    [[nodiscard]] bool within(double share, double slack) const
    {
        return double(exposed) <= share * double(requests) + slack;
    }
};

} // namespace ej::measure
