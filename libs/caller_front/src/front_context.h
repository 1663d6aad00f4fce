#pragma once

#include "byte_quota.h"
#include "part_guard.h"
#include "shutdown_schedule.h"
#include "store_update.h"
#include "stored_holds.h"
#include "stored_suspects.h"

#include <caller_front/front_settings.h>
#include <caller_front/header_names.h>

#include <forwarding/endpoint_choice.h>
#include <forwarding/endpoint_directory.h>
#include <forwarding/endpoint_run.h>
#include <forwarding/endpoint_stats_table.h>
#include <forwarding/indexed_ruleset.h>
#include <forwarding/retry_budget.h>

#include <concurrency/snapshot.h>
#include <core/address.h>
#include <core/endpoint.h>
#include <core/failure_domain_id.h>
#include <core/instant.h>
#include <core/vm_id.h>
#include <metrics/registry.h>
#include <overload/copy_gate.h>
#include <overload/placement_policy.h>
#include <overload/usage_history.h>
#include <overload/waiting_counts.h>
#include <rollout/rollout_board.h>
#include <rollout/rollout_report.h>
#include <rollout/rollout_verdict.h>
#include <suspects/cleared_request.h>
#include <suspects/death_record.h>
#include <suspects/forwarding_weights.h>
#include <suspects/isolate_then_refuse_policy.h>
#include <suspects/suspect_table.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace ej::front {

/// State shared by all lanes of a daemon. Each member is thread-safe.
struct front_context {
    explicit front_context(front_settings chosen, header_names names)
        : settings(std::move(chosen)), headers(std::move(names)),
          choice(forwarding::make_choice(settings.choice)),
          placement(overload::make_placement(settings.placement)), budget(settings.budget),
          answer_bytes(settings.answer_memory)
    {
    }

    const front_settings settings;
    const header_names headers;
    const std::unique_ptr<const forwarding::endpoint_choice> choice;
    const std::unique_ptr<const overload::placement_policy> placement;
    /// Null until the first configuration has been read.
    concurrency::snapshot<std::shared_ptr<const forwarding::indexed_ruleset>> rules{nullptr};
    /// `rules` were those of the store at that time, or newer ones.
    std::atomic<core::instant> rules_confirmed_at{core::instant::min()};
    forwarding::endpoint_directory endpoints;
    forwarding::endpoint_stats_table stats;
    forwarding::retry_budget budget;
    byte_quota answer_bytes;
    overload::usage_history usage;
    overload::waiting_counts waiting;
    overload::copy_gate copies;
    suspects::suspect_table suspects{
        std::make_unique<const suspects::isolate_then_refuse_policy>(suspects::forwarding_weights)};
    rollout::rollout_board rollouts;
    metrics::registry metrics;
    part_guard parts{settings.vm, metrics};
    /// Used on the control loop alone.
    stored_holds holds_in_store;
    /// Used on the control loop alone.
    stored_suspects suspects_in_store;
    /// Addresses for datagrams to the other daemons.
    concurrency::snapshot<std::vector<core::address>> peers{std::vector<core::address>()};
    /// The subset of `peers` in this daemon's failure domain.
    concurrency::snapshot<std::vector<core::address>> domain_peers{std::vector<core::address>()};
    /// All of `peers`, by failure domain.
    concurrency::snapshot<std::map<core::failure_domain_id, std::vector<core::address>>>
        peers_by_domain{std::map<core::failure_domain_id, std::vector<core::address>>()};
    /// The same addresses by VM.
    concurrency::snapshot<std::map<core::vm_id, core::address>> peers_by_vm{
        std::map<core::vm_id, core::address>()};
    /// Called on any thread when this daemon's load at an engine changes; set before the lanes run.
    std::function<void(const core::endpoint&)> load_changed = [](const core::endpoint&) {};
    /// Called on any thread when an endpoint died while serving requests; set before the lanes
    /// run.
    std::function<void(const suspects::death_record&)> death_seen =
        [](const suspects::death_record&) {};
    /// Called on any thread when this daemon observed a death that counts against a request; set
    /// before the lanes run.
    std::function<void(suspects::request_digest)> suspect_seen = [](suspects::request_digest) {};
    /// Called on the control loop when evidence against requests was learnt or cleared; set before
    /// it runs.
    std::function<void()> evidence_changed = [] {};
    /// Called on any thread when an answer said first that an endpoint leaves; set before the lanes
    /// run.
    std::function<void(const forwarding::endpoint_run&)> leaving_seen =
        [](const forwarding::endpoint_run&) {};
    /// Sends changes read from the store to `domain_peers`. Called on the control loop; set before
    /// it runs.
    std::function<void(const store_update&)> send_store_update = [](const store_update&) {};
    /// Applies changes received from a peer of the failure domain. Called on the control loop; set
    /// before it runs.
    std::function<void(const store_update&)> apply_store_update = [](const store_update&) {};
    /// Called on the control loop when an order or a record of a roll-out has changed; set before
    /// it runs.
    std::function<void()> rollouts_changed = [] {};
    /// Apply messages of other daemons about a roll-out. Called on the control loop; set before it
    /// runs.
    std::function<void(const rollout::rollout_report&)> apply_rollout_report =
        [](const rollout::rollout_report&) {};
    std::function<void(const rollout::rollout_verdict&)> apply_rollout_verdict =
        [](const rollout::rollout_verdict&) {};
    /// Called on the control loop when the store answers again after an outage; set before it runs.
    std::function<void()> store_returned = [] {};
    /// Called on any thread when a suspect request has completed; set before the lanes run.
    std::function<void(const suspects::cleared_request&)> suspect_cleared =
        [](const suspects::cleared_request&) {};
    std::atomic<std::size_t> daemons{1}; ///< Daemons that share the budget, this one included.
    std::atomic<std::uint64_t> choices_made{0}; ///< Breaks ties between equal endpoints in turn.
    std::atomic<std::size_t> calls_open{0};     ///< Requests that have no final answer yet.
    std::atomic<std::size_t> callers_open{0};   ///< Callers' connections.
    std::atomic<std::size_t> callers_bytes{0};  ///< Held for callers, see `caller_table`.
    /// Callers' connections on which a request may still be answered.
    std::atomic<std::size_t> callers_active{0};
    std::atomic<bool> leaving{false}; ///< SIGTERM was received.
    /// Set before `leaving`.
    concurrency::snapshot<std::optional<shutdown_schedule>> schedule{std::nullopt};
};

} // namespace ej::front
