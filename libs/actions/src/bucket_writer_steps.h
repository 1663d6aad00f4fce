#pragma once

#include <actions/bucket_writer_transition.h>
#include <actions/claim_verdict.h>

#include <vector>

/// Steps that several lane rules share.
namespace ej::actions {

/// The effect that reports `verdict`.
[[nodiscard]] lane_effect settle(claim_verdict verdict);

/// `writer` waiting for its next turn, or idle when no claim waits.
[[nodiscard]] bucket_writer_transition schedule_next_call(bucket_writer writer,
                                                          std::vector<lane_effect> effects);

/// `writer` with the claims under way among those that wait, and no trust in what it knew.
[[nodiscard]] bucket_writer requeued(bucket_writer writer);

/// `writer` with every claim given up.
[[nodiscard]] bucket_writer_transition given_up(bucket_writer writer);

} // namespace ej::actions
