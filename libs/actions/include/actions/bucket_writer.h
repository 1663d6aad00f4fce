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

/// One daemon's claims on one bucket, and what it knows of the bucket.
struct bucket_writer {
    bucket_writer_phase phase = bucket_writer_phase::idle;
    std::vector<claim> waiting;
    std::vector<claim> in_flight; ///< Bound once the write under way is accepted.
    claim_bucket known;           ///< The store's value at `revision`.
    first_seen_times first_seen;  ///< Of the entries of `known`.
    core::instant known_at;       ///< When `known` was read or written.
    bool fresh = false;           ///< False when `known` may have been replaced in the store.
    core::revision revision;
    core::revision highest_revision; ///< Of the bucket; the store never goes below it.
    claim_bucket written;            ///< The value under way.
    std::uint32_t failures = 0;      ///< Calls without an answer in a row.
    std::uint32_t conflicts = 0;     ///< Lost races in a row.

    friend auto operator<=>(const bucket_writer&, const bucket_writer&) = default;
};

} // namespace ej::actions
