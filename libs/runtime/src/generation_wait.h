#pragma once

#include "generation_start.h"
#include "services.h"

#include <core/instant.h>
#include <fairness/claim.h>
#include <generation/state.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// What a generation that began at `began` asks of the engines now; `wait_id` names its wait.
[[nodiscard]] fairness::claim claim_of(const generation_start& start,
                                       const generation::state& state, core::request_id wait_id,
                                       core::instant began);

/// Waits for an engine with room. A generation that has `begun` is not refused for its lateness.
boost::asio::awaitable<admission_result>
wait_for_engine(services& shared, core::work_class work_class, fairness::claim asked, bool begun);

} // namespace ej::runtime
