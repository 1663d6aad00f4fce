#pragma once

#include "daemon_context.h"
#include "generation_start.h"

#include <core/instant.h>
#include <fairness/queued_request.h>
#include <generation/state.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// Describes to the gate what a generation that began at `began` now needs from an engine;
/// `wait_id` identifies its wait.
[[nodiscard]] fairness::queued_request queued_request_of(const generation_start& start,
                                                         const generation::state& state,
                                                         core::request_id wait_id,
                                                         core::instant began);

/// Waits for an engine with room. A generation that has `begun` is not refused for being late.
boost::asio::awaitable<admission_result> wait_for_engine(daemon_context& shared,
                                                         core::work_class work_class,
                                                         fairness::queued_request queued,
                                                         bool begun);

} // namespace ej::runtime
