#pragma once

#include <actions/bucket_writer_phase.h>
#include <actions/claim.h>
#include <actions/claim_bucket.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::actions {

/// One daemon's pending claims for one bucket and its cached copy of the bucket.
struct bucket_writer {
    bucket_writer_phase phase = bucket_writer_phase::idle;
    std::vector<claim> waiting;
    std::vector<claim> in_flight; ///< Bound once the current write is accepted.
    claim_bucket cached;          ///< Cached value of the store at `revision`.
    first_seen_times first_seen;  ///< For the entries of `cached`.
    core::instant cached_at;      ///< When `cached` was read or written.
    bool cache_current = false;   ///< False if the store may hold a newer value than `cached`.
    core::revision revision;
    core::revision highest_revision; ///< Highest revision seen; a lower one means lost data.
    claim_bucket written;            ///< Value of the current write.
    std::uint32_t failures = 0;      ///< Consecutive calls without an answer.
    std::uint32_t conflicts = 0;     ///< Consecutive write conflicts.

    friend auto operator<=>(const bucket_writer&, const bucket_writer&) = default;
};

} // namespace ej::actions
