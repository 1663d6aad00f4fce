#pragma once

#include <actions/claim_bucket.h>
#include <actions/claim_verdict.h>
#include <actions/lane_effect_kind.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>

namespace ej::actions {

/// One effect of a bucket writer. `kind` determines which members are used.
struct lane_effect {
    lane_effect_kind kind = lane_effect_kind::read;
    core::instant not_before;
    claim_bucket bucket;
    core::revision revision;
    claim_verdict verdict;

    friend auto operator<=>(const lane_effect&, const lane_effect&) = default;
};

} // namespace ej::actions
