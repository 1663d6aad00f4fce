#pragma once

#include <suspects/death_id_hash.h>
#include <suspects/death_record.h>
#include <suspects/evidence.h>
#include <suspects/known_death.h>
#include <suspects/request_digest.h>
#include <suspects/suspect_history.h>
#include <suspects/suspicion_policy.h>
#include <suspects/verdict.h>

#include <concurrency/sharded.h>
#include <core/instant.h>

#include <memory>
#include <vector>

namespace ej::suspects {

/// Requests on which endpoints died, as this daemon and its peers saw it. Thread-safe.
class suspect_table {
public:
    explicit suspect_table(std::unique_ptr<const suspicion_policy> policy);

    /// Applies a death that this daemon saw or a peer reported. Returns the merged record when it
    /// says more than was known, so that it is passed on; else a record without requests.
    death_record note_death(const death_record& seen, core::instant now);

    /// Notes that a request finished, here or by a peer's word: it is no suspect any more. True if
    /// it was one.
    bool clear(request_digest request);

    /// How a request may run.
    [[nodiscard]] verdict judge(request_digest request, core::instant now);

    /// Begins an isolated attempt; false while another one runs at this daemon.
    bool begin_isolated(request_digest request);

    /// Notes that an isolated attempt ended.
    void end_isolated(request_digest request);

    /// Drops what has expired; called now and then.
    void expire(core::instant now);

    /// Number of suspects.
    [[nodiscard]] std::size_t size() { return histories_.size(); }

private:
    [[nodiscard]] std::vector<death_id> deaths_of(request_digest request, core::instant now);
    void record_suspect(request_digest request, const death_id& death, core::instant now);

    std::unique_ptr<const suspicion_policy> policy_;
    concurrency::sharded<death_id, known_death> deaths_;
    concurrency::sharded<request_digest, suspect_history> histories_;
};

} // namespace ej::suspects
