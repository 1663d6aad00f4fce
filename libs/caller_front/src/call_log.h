#pragma once

#include "call_end.h"
#include "request_head.h"
#include "silence_report.h"

#include <forwarding/attempt_end.h>
#include <forwarding/call_progress.h>
#include <forwarding/endpoint_stats.h>
#include <forwarding/route.h>
#include <forwarding/silence_step.h>

#include <overload/placement_step.h>

#include <core/endpoint.h>
#include <core/instant.h>
#include <core/revision.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace ej::front {

/// Logs the start of an attempt, with the endpoint statistics on which the choice was based.
void log_attempt_begin(const std::string& request, const core::endpoint& endpoint,
                       const forwarding::endpoint_stats& stats, const request_head& added);

/// Logs a failed attempt, with the statistics of its endpoint.
void log_attempt_end(const std::string& request, const core::endpoint& endpoint,
                     forwarding::attempt_end end, const std::string& detail, core::duration took,
                     const forwarding::endpoint_stats& stats);

/// Logs that an endpoint asked for no requests for `delay`, in its answer to `request`.
void log_backoff(const std::string& request, const core::endpoint& endpoint, core::duration delay);

/// Logs that a request waits for an endpoint for `delay`, and for `waited` in all.
void log_backoff_wait(const std::string& request, core::duration delay, core::duration waited);

/// Logs that an endpoint died while it served a request.
void log_death(const std::string& request, const core::endpoint& endpoint);

/// Logs that an endpoint is silent, and the next step.
void log_silence(const std::string& request, const core::endpoint& endpoint,
                 const silence_report& seen, forwarding::silence_step step);

/// Logs that a stream pauses before it is resumed, for `reason`.
void log_resume_pause(const std::string& request, std::string_view reason, core::duration pause);

/// Logs the decision on a generation that asked for a place, and for how long it has waited.
void log_placement(const std::string& request, const overload::placement_step& step,
                   core::duration waited);

/// Logs the first output of a generation, with the forecast on which its engine was chosen.
void log_first_output(const std::string& request, const core::endpoint& endpoint,
                      core::duration forecast, core::duration measured);

/// Logs the end of a call, with its route and its last endpoint.
void log_call_end(const std::string& request, const forwarding::route& matched_route,
                  const std::string& endpoint, const forwarding::call_progress& progress,
                  const call_end& end);

/// Logs that parts of a request's prompt were not read, so that they are not guarded against.
void log_unread_parts(const std::string& request, std::size_t read, std::size_t unread);

/// Logs a request that was rejected without being forwarded.
void log_rejection(const std::string& request, std::string_view target, std::string_view reason,
                   unsigned status, core::revision rules_version);

} // namespace ej::front
