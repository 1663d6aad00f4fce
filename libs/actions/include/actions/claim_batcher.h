#pragma once

#include <actions/action_id.h>
#include <actions/bucket_number.h>
#include <actions/bucket_writer.h>
#include <actions/bucket_writer_effect.h>
#include <actions/bucket_writer_event.h>
#include <actions/bucket_writer_rules.h>
#include <actions/call_rate_limit.h>
#include <actions/claim_limits.h>

#include <concurrency/sharded.h>

#include <mutex>
#include <vector>

namespace ej::actions {

/// Batches the claims of one daemon: one writer for each bucket, one rate limit for all calls to
/// the store. Thread-safe.
class claim_batcher {
public:
    explicit claim_batcher(const claim_limits& limits);

    /// The bucket of `action`. Daemons with equal limits compute the same bucket.
    [[nodiscard]] bucket_number bucket_of(const action_id& action) const;

    /// Applies `event` to the writer of `bucket` and returns the effects to perform.
    [[nodiscard]] std::vector<bucket_writer_effect> apply(bucket_number bucket,
                                                          const bucket_writer_event& event);

private:
    [[nodiscard]] core::instant reserve_call(core::instant now);

    claim_limits limits_;
    bucket_writer_rules rules_;
    concurrency::sharded<bucket_number, bucket_writer> writers_;
    std::mutex call_rate_mutex_;
    call_rate_limit call_rate_;
};

} // namespace ej::actions
