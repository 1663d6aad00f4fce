#pragma once

#include <suspects/aged_death.h>
#include <suspects/death_id_hash.h>
#include <suspects/death_kind.h>
#include <suspects/death_record.h>
#include <suspects/evidence.h>
#include <suspects/known_death.h>
#include <suspects/request_digest.h>
#include <suspects/request_evidence.h>
#include <suspects/suspect_history.h>
#include <suspects/suspicion_policy.h>
#include <suspects/verdict.h>

#include <concurrency/sharded.h>
#include <core/instant.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace ej::suspects {

/// Requests that were running when endpoints died, as observed by this daemon and its peers.
/// Thread-safe.
class suspect_table {
public:
    /// Time for which a death counts; longer than callers retry a failed request.
    static constexpr std::chrono::minutes retention{15};

    explicit suspect_table(std::unique_ptr<const suspicion_policy> policy);

    /// Records a death that this daemon observed or a peer reported, first known `age` ago. If
    /// `reported` adds requests, returns the merged record, which is to be sent to peers; otherwise
    /// an empty record.
    death_record record_death(const death_record& reported, core::instant now,
                              core::duration age = core::duration::zero());

    /// The deaths that count against requests, at most `count`. Those of the requests with the most
    /// deaths come first.
    [[nodiscard]] std::vector<aged_death> deaths_against_requests(std::size_t count,
                                                                  core::instant now);

    /// The evidence against requests with at least `min_deaths` deaths, at most `count` of them.
    /// Those with the most deaths come first.
    [[nodiscard]] std::vector<request_evidence>
    evidence_against(std::size_t min_deaths, std::size_t count, core::instant now);

    /// Adds evidence that a daemon had stored, unless the request has completed since. Deaths that
    /// are known already are left as they are. Returns true if a death was added.
    bool restore(const request_evidence& stored, core::instant now);

    /// True if a death counts against `request`.
    [[nodiscard]] bool is_suspect(request_digest request);

    /// The requests of `reported` against which its death no longer counts here, as they have
    /// completed since.
    [[nodiscard]] std::vector<request_digest> cleared_among(const death_record& reported);

    /// Removes the suspicion of a request that finished here or at a peer. Returns true if the
    /// request was suspected.
    bool clear(request_digest request);

    /// Returns how a request may run.
    [[nodiscard]] verdict evaluate(request_digest request, core::instant now);

    /// Begins an isolated attempt. Returns false if another one is running at this daemon.
    bool begin_isolated(request_digest request);

    /// Records the end of an isolated attempt.
    void end_isolated(request_digest request);

    /// Drops expired records; called periodically.
    void expire(core::instant now);

    /// Number of suspected requests.
    [[nodiscard]] std::size_t size() { return histories_.size(); }

private:
    [[nodiscard]] suspect_history history_of(request_digest request, core::instant now);
    void record_suspect(request_digest request, const death_id& death, core::instant expires,
                        std::optional<death_kind> restored = std::nullopt);
    [[nodiscard]] bool add_run(request_digest request, const request_death& at, core::instant now);
    [[nodiscard]] known_death death_of(const death_id& death);
    [[nodiscard]] death_kind kind_of(request_digest request, const death_id& death,
                                     const suspect_history& history);
    [[nodiscard]] bool ran_alone(request_digest request, const known_death& known);
    [[nodiscard]] bool other_endpoint_died(request_digest request, core::instant at);

    std::unique_ptr<const suspicion_policy> policy_;
    concurrency::sharded<death_id, known_death> deaths_;
    concurrency::sharded<request_digest, suspect_history> histories_;
};

} // namespace ej::suspects
