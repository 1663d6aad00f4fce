#pragma once

#include "shutdown_schedule.h"
#include "store_update.h"

#include <caller_front/front_settings.h>
#include <caller_front/header_names.h>

#include <forwarding/endpoint_choice.h>
#include <forwarding/fleet.h>
#include <forwarding/rulebook.h>
#include <forwarding/send_budget.h>
#include <forwarding/standings.h>

#include <concurrency/snapshot.h>
#include <core/address.h>
#include <core/endpoint_id.h>
#include <metrics/registry.h>
#include <suspects/cleared_request.h>
#include <suspects/death_record.h>
#include <suspects/isolate_then_refuse.h>
#include <suspects/suspect_table.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ej::front {

/// A request is no longer sent after three deaths that it had to itself, which weigh two each, or
/// six in company: endpoints crash by themselves, several at a time, and equal requests of several
/// callers may run at each of them.
inline constexpr std::uint32_t weight_to_refuse = 6;

/// What all lanes of a daemon share. Each member is thread-safe.
struct front_context {
    explicit front_context(front_settings chosen, header_names names)
        : settings(std::move(chosen)), headers(std::move(names)),
          choice(forwarding::make_choice(settings.choice)), budget(settings.budget)
    {
    }

    const front_settings settings;
    const header_names headers;
    const std::unique_ptr<const forwarding::endpoint_choice> choice;
    /// Null until a configuration was read.
    concurrency::snapshot<std::shared_ptr<const forwarding::rulebook>> rules{nullptr};
    concurrency::snapshot<forwarding::fleet> endpoints{forwarding::fleet()};
    forwarding::standings standing;
    forwarding::send_budget budget;
    suspects::suspect_table suspects{
        std::make_unique<const suspects::isolate_then_refuse>(weight_to_refuse)};
    metrics::registry metrics;
    /// Where the other daemons hear of this one's load.
    concurrency::snapshot<std::vector<core::address>> peers{std::vector<core::address>()};
    /// Those of them in this daemon's failure domain.
    concurrency::snapshot<std::vector<core::address>> domain_peers{std::vector<core::address>()};
    /// Called on any thread when this daemon's load at an engine changes; set before the lanes run.
    std::function<void(const core::endpoint_id&)> load_changed = [](const core::endpoint_id&) {};
    /// Called on any thread when an endpoint died under requests; set before the lanes run.
    std::function<void(const suspects::death_record&)> death_seen =
        [](const suspects::death_record&) {};
    /// Tells the neighbours what was read from the store; on the control loop, set before it runs.
    std::function<void(const store_update&)> send_store_update = [](const store_update&) {};
    /// Takes what a neighbour told; on the control loop, set before it runs.
    std::function<void(const store_update&)> apply_store_update = [](const store_update&) {};
    /// Called on any thread when a suspect has finished; set before the lanes run.
    std::function<void(const suspects::cleared_request&)> suspect_cleared =
        [](const suspects::cleared_request&) {};
    std::atomic<std::size_t> daemons{1}; ///< Daemons that share the budget, this one included.
    std::atomic<std::uint64_t> choices_made{0}; ///< Choices made; spreads equal endpoints.
    std::atomic<std::size_t> calls_open{0};     ///< Requests that have no final answer yet.
    std::atomic<std::size_t> callers_open{0};   ///< Callers' connections.
    std::atomic<bool> leaving{false};           ///< SIGTERM was received.
    /// Set before `leaving`.
    concurrency::snapshot<std::optional<shutdown_schedule>> schedule{std::nullopt};
};

} // namespace ej::front
