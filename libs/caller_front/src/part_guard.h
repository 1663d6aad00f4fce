#pragma once

#include "peer_message.h"

#include <concurrency/snapshot.h>
#include <core/instant.h>
#include <core/vm_id.h>
#include <metrics/registry.h>
#include <suspects/cleared_parts.h>
#include <suspects/held_parts.h>
#include <suspects/part_death.h>
#include <suspects/part_digest.h>
#include <suspects/part_table.h>
#include <suspects/part_verdict.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <span>
#include <string_view>
#include <vector>

namespace ej::front {

/// Holds back requests with a part of a prompt that crashes endpoints: keeps the evidence, shares
/// it with the other daemons, logs and counts. Thread-safe.
class part_guard {
public:
    /// `own` is the VM of this daemon. Both outlive the object.
    part_guard(const core::vm_id& own, metrics::registry& metrics);

    /// Sends a message to all daemons. Called on any thread; set before the lanes run.
    std::function<void(const peer_message&)> broadcast = [](const peer_message&) {};

    /// Requests a call of `review` after `part_table::settle_time`. Called on any thread; set
    /// before the lanes run.
    std::function<void()> review_later = [] {};

    /// Called on any thread when the held parts have changed; set before the lanes run.
    std::function<void()> held_changed = [] {};

    /// The VMs of all daemons, this one included.
    concurrency::snapshot<std::vector<core::vm_id>> members{std::vector<core::vm_id>()};

    /// Returns how a request with `parts` may run. If it is a trial, no other one is admitted here
    /// until `begin_trial` or `return_trial` is called for the same parts.
    [[nodiscard]] suspects::part_verdict evaluate(std::span<const suspects::part_digest> parts);

    /// Counts a trial of `held`, whose request is sent to an endpoint now.
    void begin_trial(std::span<const suspects::part_digest> held);

    /// Takes back a trial of `held` whose request has reached no endpoint.
    void return_trial(std::span<const suspects::part_digest> held);

    /// True if an admitted trial of `held` may still begin.
    [[nodiscard]] bool is_admitted(std::span<const suspects::part_digest> held);

    /// True if a part of `parts` is held back.
    [[nodiscard]] bool holds_any(std::span<const suspects::part_digest> parts);

    /// True if a request with `parts` may be sent to another endpoint after one has died.
    [[nodiscard]] bool allows_resend(std::span<const suspects::part_digest> parts);

    /// Records the death of an endpoint where a request of this daemon had no output.
    void record_death(const suspects::part_death& seen);

    /// Records that a request of this daemon with `parts` has had output.
    void record_output(std::span<const suspects::part_digest> parts);

    /// Holds back the parts that the evidence suffices for.
    void review();

    /// Applies a message from another daemon.
    void apply(const suspects::part_death& seen);
    void apply(const suspects::held_parts& told);
    void apply(const suspects::cleared_parts& told);

    /// Applies an entry of the store: `part` was held back at some time, with `trials` since.
    void apply_stored(suspects::part_digest part, std::uint32_t trials);

    /// The parts that are held back, ordered by part.
    [[nodiscard]] std::vector<suspects::held_part> held();

    /// True if this daemon keeps the part's entry in the store.
    [[nodiscard]] bool owns(suspects::part_digest part) const;

    /// Drops expired records; called periodically on one thread.
    void expire(core::instant now);

private:
    [[nodiscard]] std::vector<suspects::part_digest>
    clear(std::span<const suspects::part_digest> parts, std::string_view cause);
    bool hold(const suspects::held_part& one, std::string_view source);
    void update_gauge();

    const core::vm_id& own_;
    metrics::registry& metrics_;
    suspects::part_table table_;
    std::mutex count_mutex_;
    std::atomic<bool> any_held_{false};
    core::instant next_expiry_{};
};

} // namespace ej::front
