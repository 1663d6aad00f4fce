#pragma once

#include <forwarding/retry_budget_settings.h>
#include <rollout/rollout_limits.h>

#include <core/address.h>
#include <core/failure_domain_id.h>
#include <core/instant.h>
#include <core/vm_id.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace ej::front {

inline constexpr std::size_t default_lanes = 1;
inline constexpr std::size_t default_answer_memory = std::size_t{64} << 20;
inline constexpr std::size_t default_caller_memory = std::size_t{128} << 20;
inline constexpr std::size_t default_max_callers = 512;

/// Settings of a forwarding daemon.
struct front_settings {
    core::vm_id vm;
    core::failure_domain_id domain;
    core::address listen;       ///< For callers.
    core::address ready_listen; ///< For health checks and metrics.
    core::address peer_listen;  ///< For datagrams from other daemons.
    std::string ready_path = "/ready";
    core::address store;
    /// For one call to the store; > 0. Listings and changes must begin to arrive within it, and
    /// within a longer time after repeated late ones.
    core::duration store_deadline = std::chrono::seconds(1);
    /// Upper bound on the delay until a change in the store takes effect; > 0.
    core::duration apply_within = std::chrono::milliseconds(2'000);
    /// Only rules that the store confirmed within this time reject a request as unknown; > 0.
    core::duration confirmed_within = std::chrono::milliseconds(2'000);
    core::duration grace = std::chrono::seconds(8);  ///< From SIGTERM to the end; > 0.
    core::duration lease = std::chrono::seconds(10); ///< Of this daemon's registration; > 0.
    core::duration write_timeout = std::chrono::seconds(15); ///< Without progress; > 0.
    std::string choice = "first_output"; ///< Name of the load-balancing strategy.
    std::string placement = "memory";    ///< Name of the placement policy for generations.
    bool backups = true;                 ///< Asks engines to keep copies of running requests.
    std::size_t answer_memory = default_answer_memory; ///< Bytes for buffered answers; > 0.
    /// Bytes for callers' requests and unread answers together; > 0. One request always fits.
    std::size_t caller_memory = default_caller_memory;
    std::size_t max_callers = default_max_callers; ///< Callers' connections, all lanes; from 1.
    std::size_t lanes = default_lanes;             ///< Threads that serve callers; from 1.
    forwarding::retry_budget_settings budget;
    rollout::rollout_limits rollouts; ///< For versions that are not known to be good.

    friend auto operator<=>(const front_settings&, const front_settings&) = default;
};

} // namespace ej::front
