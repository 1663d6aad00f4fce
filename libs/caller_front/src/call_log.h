#pragma once

#include "request_head.h"

#include <forwarding/attempt_end.h>
#include <forwarding/call_progress.h>
#include <forwarding/endpoint_standing.h>
#include <forwarding/route.h>

#include <core/endpoint.h>
#include <core/instant.h>
#include <core/revision.h>

#include <string>
#include <string_view>

namespace ej::front {

/// Logs that an attempt begins, with the standing of its endpoint that led to the choice.
void log_attempt_begin(const std::string& request, const core::endpoint& endpoint,
                       const forwarding::endpoint_standing& standing, const request_head& added);

/// Logs that an attempt ended badly, with what is known of its endpoint.
void log_attempt_end(const std::string& request, const core::endpoint& endpoint,
                     forwarding::attempt_end end, const std::string& detail, core::duration took,
                     const forwarding::endpoint_standing& standing);

/// Logs that an endpoint died while it ran a request.
void log_death(const std::string& request, const core::endpoint& endpoint);

/// Logs that a call ended, with the route and version of the configuration that decided it.
void log_call_end(const std::string& request, const forwarding::route& matched_route,
                  core::revision rules_version, const std::string& endpoint,
                  const forwarding::call_progress& progress, std::string_view outcome,
                  unsigned status, core::duration took);

/// Logs that a request was answered without being forwarded.
void log_rejection(const std::string& request, std::string_view target, std::string_view reason,
                   unsigned status, core::revision rules_version);

} // namespace ej::front
