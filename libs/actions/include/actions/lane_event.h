#pragma once

#include <actions/claim.h>
#include <actions/claim_bucket.h>
#include <actions/lane_event_kind.h>
#include <actions/wall_time.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>

namespace ej::actions {

/// One event of a bucket writer. `kind` determines which members are used.
struct lane_event {
    lane_event_kind kind = lane_event_kind::turn_came;
    wall_time at;      ///< Time of day.
    core::instant now; ///< Monotonic time of the event.
    claim wanted;
    claim_bucket bucket;
    core::revision revision;

    friend auto operator<=>(const lane_event&, const lane_event&) = default;
};

} // namespace ej::actions
