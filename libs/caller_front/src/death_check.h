#pragma once

#include "front_context.h"
#include "upstream_pool.h"

#include <suspects/request_digest.h>

#include <core/endpoint.h>

#include <optional>
#include <string>

namespace ej::front {

/// Finds out whether `endpoint`, whose connection broke under a request, is gone; if so its death
/// is noted and, with `suspect`, told to the other daemons as one that this request may have
/// caused. `context` and `pool` outlive the check.
void check_death(front_context& context, upstream_pool& pool, const core::endpoint& endpoint,
                 std::optional<suspects::request_digest> suspect, const std::string& request);

} // namespace ej::front
