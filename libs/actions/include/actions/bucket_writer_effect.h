#pragma once

#include <actions/bucket_writer_effect_kind.h>
#include <actions/claim_bucket.h>
#include <actions/claim_verdict.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>

namespace ej::actions {

/// One effect of a bucket writer. `kind` determines which members are used.
struct bucket_writer_effect {
    bucket_writer_effect_kind kind = bucket_writer_effect_kind::read;
    core::instant not_before;
    claim_bucket bucket;
    core::revision revision;
    claim_verdict verdict;

    friend auto operator<=>(const bucket_writer_effect&, const bucket_writer_effect&) = default;
};

} // namespace ej::actions
