#pragma once

#include <actions/bucket_writer_transition.h>
#include <actions/claim_verdict.h>

#include <vector>

/// Steps shared by several bucket writer rules.
namespace ej::actions {

/// The effect that reports `verdict`.
[[nodiscard]] bucket_writer_effect settle(claim_verdict verdict);

/// Returns `writer` with its next call scheduled, or idle if no claim waits.
[[nodiscard]] bucket_writer_transition
schedule_next_call(bucket_writer writer, std::vector<bucket_writer_effect> effects);

/// Returns `writer` with the claims in flight moved back to the waiting ones and its cached bucket
/// marked as stale.
[[nodiscard]] bucket_writer requeued(bucket_writer writer);

/// Returns `writer` with every claim given up; the effects report them as failed.
[[nodiscard]] bucket_writer_transition given_up(bucket_writer writer);

} // namespace ej::actions
