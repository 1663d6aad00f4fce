#pragma once

#include "store_update.h"

#include <forwarding/leaving_notice.h>
#include <forwarding/load_message.h>
#include <rollout/rollout_report.h>
#include <rollout/rollout_verdict.h>
#include <suspects/cleared_parts.h>
#include <suspects/cleared_request.h>
#include <suspects/death_record.h>
#include <suspects/evidence_query.h>
#include <suspects/evidence_report.h>
#include <suspects/held_parts.h>
#include <suspects/part_death.h>

#include <variant>

namespace ej::front {

/// Content of a datagram between daemons.
using peer_message =
    std::variant<forwarding::load_message, suspects::death_record, suspects::cleared_request,
                 suspects::part_death, suspects::held_parts, suspects::cleared_parts, store_update,
                 forwarding::leaving_notice, suspects::evidence_query, suspects::evidence_report,
                 rollout::rollout_report, rollout::rollout_verdict>;

} // namespace ej::front
