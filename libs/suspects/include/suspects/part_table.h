#pragma once

#include <suspects/death_id_hash.h>
#include <suspects/death_index.h>
#include <suspects/held_part.h>
#include <suspects/known_part_death.h>
#include <suspects/part_death.h>
#include <suspects/part_digest.h>
#include <suspects/part_evidence.h>
#include <suspects/part_history.h>
#include <suspects/part_policy.h>
#include <suspects/part_verdict.h>

#include <concurrency/sharded.h>
#include <core/instant.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace ej::suspects {

/// Parts of prompts whose requests were without output where endpoints died, as observed by this
/// daemon and its peers. An endpoint crashes when it begins to write, so one output shows that all
/// parts of its request are sound. Thread-safe.
class part_table {
public:
    /// Time by which this daemon lets others go first with a trial of the part.
    using trial_delay = std::function<core::duration(part_digest)>;

    /// Number of parts that are remembered; those out of use for longest are evicted.
    static constexpr std::size_t capacity = 16'384;

    explicit part_table(std::unique_ptr<const part_policy> policy);

    /// Records a death that this daemon observed or a peer reported. If `reported` adds parts,
    /// returns the merged record, which is to be sent to peers; otherwise one without parts.
    part_death record_death(const part_death& reported, core::instant now);

    /// Records that a request with `parts` has had output here or at a peer. Returns the parts that
    /// were suspected until then, which is to be told to peers.
    std::vector<part_digest> record_output(std::span<const part_digest> parts, core::instant now);

    /// Holds back the parts that the evidence suffices for; called `settle_time` after a death was
    /// recorded. Returns them.
    std::vector<part_digest> review(core::instant now);

    /// Time within which daemons report what they ran at an endpoint that died.
    static constexpr std::chrono::milliseconds settle_time{300};

    /// Holds back a part that a peer or the store reports. Returns false if this daemon knows of an
    /// output since the evidence, which is to be told to peers.
    bool apply_held(const held_part& reported, core::instant now);

    /// Returns how a request with `parts` may run. If it is a trial, no other one is admitted here
    /// until `begin_trial` or `return_trial` is called for the same parts.
    [[nodiscard]] part_verdict evaluate(std::span<const part_digest> parts,
                                        const trial_delay& delay, core::instant now);

    /// Counts a trial of `held`, whose request is sent to an endpoint now.
    void begin_trial(std::span<const part_digest> held, core::instant now);

    /// Takes back a trial of `held` whose request has reached no endpoint.
    void return_trial(std::span<const part_digest> held, core::instant now);

    /// True if an admitted trial of `held` may still begin: no other daemon has tried the parts.
    [[nodiscard]] bool is_admitted(std::span<const part_digest> held);

    /// True if a request with `parts` may be sent to another endpoint after one has died: none of
    /// them is held back, or has two independent deaths and no output so far.
    [[nodiscard]] bool allows_resend(std::span<const part_digest> parts);

    /// True if a part of `parts` is held back.
    [[nodiscard]] bool holds_any(std::span<const part_digest> parts);

    /// The parts that are held back, ordered by part.
    [[nodiscard]] std::vector<held_part> held(core::instant now);

    /// What is known of a part.
    [[nodiscard]] part_evidence evidence_of(part_digest part, core::instant now);

    /// Drops expired records; called periodically.
    void expire(core::instant now);

    /// Number of remembered parts.
    [[nodiscard]] std::size_t size() { return histories_.size(); }

private:
    [[nodiscard]] bool is_held(part_digest part);
    [[nodiscard]] std::vector<known_part_death> settled_deaths(core::instant now);
    [[nodiscard]] std::vector<part_digest> strongest_suspects(const death_index& counted);
    [[nodiscard]] std::set<part_digest> all_held();
    [[nodiscard]] part_history history_of(part_digest part);
    [[nodiscard]] std::vector<known_part_death> deaths_with(std::span<const death_id> ids);
    [[nodiscard]] bool is_ambiguous(part_digest part);
    [[nodiscard]] bool may_try(std::span<const part_digest> held, const trial_delay& delay,
                               core::instant now);
    [[nodiscard]] part_verdict refusal(std::vector<part_digest> held, core::instant now);
    bool admit(part_digest part, core::instant now);
    void hold(part_digest part, core::instant now);
    void postpone_trials(std::span<const death_id> deaths, core::instant now);

    std::unique_ptr<const part_policy> policy_;
    concurrency::sharded<death_id, known_part_death> deaths_;
    concurrency::sharded<part_digest, part_history> histories_;
};

} // namespace ej::suspects
