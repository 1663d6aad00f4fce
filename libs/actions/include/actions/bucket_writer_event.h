#pragma once

#include <actions/bucket_writer_event_kind.h>
#include <actions/claim.h>
#include <actions/claim_bucket.h>
#include <actions/wall_time.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>

namespace ej::actions {

/// One event of a bucket writer. `kind` determines which members are used.
struct bucket_writer_event {
    bucket_writer_event_kind kind = bucket_writer_event_kind::call_due;
    wall_time at;      ///< Time of day.
    core::instant now; ///< Monotonic time of the event.
    claim wanted;
    claim_bucket bucket;
    core::revision revision;

    friend auto operator<=>(const bucket_writer_event&, const bucket_writer_event&) = default;
};

} // namespace ej::actions
