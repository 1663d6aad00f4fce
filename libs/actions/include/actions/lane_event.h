#pragma once

#include <actions/claim.h>
#include <actions/claim_bucket.h>
#include <actions/lane_event_kind.h>
#include <actions/wall_time.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>

namespace ej::actions {

/// Something that happened to a claim bucket's writer; `kind` says which members count.
struct lane_event {
    lane_event_kind kind = lane_event_kind::turn_came;
    wall_time at;      ///< Time of day.
    core::instant now; ///< The same on the monotonic clock.
    claim wanted;
    claim_bucket bucket;
    core::revision revision;

    friend auto operator<=>(const lane_event&, const lane_event&) = default;
};

} // namespace ej::actions
