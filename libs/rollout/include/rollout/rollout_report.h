#pragma once

#include <rollout/route_answers.h>
#include <rollout/share.h>

#include <core/revision.h>
#include <core/service_id.h>
#include <core/vm_id.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::rollout {

/// What one daemon has seen of a roll-out since its order. Each report takes the place of the one
/// before, so that a lost datagram loses nothing.
struct rollout_report {
    /// Routes in one report; a daemon with more of them counts the rest as one.
    static constexpr std::size_t max_routes = 64;

    core::vm_id from;
    std::uint64_t start = 0;  ///< Differs after each restart of the daemon.
    std::uint64_t number = 0; ///< Increases with each report until the daemon restarts.
    core::service_id service;
    core::revision order;
    share to_target = 0;              ///< Share that the daemon applies now.
    std::uint32_t runs_elsewhere = 0; ///< Its requests that run at other versions.
    answers_by_route answers;

    friend auto operator<=>(const rollout_report&, const rollout_report&) = default;
};

} // namespace ej::rollout
