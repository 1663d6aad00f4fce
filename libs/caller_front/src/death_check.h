#pragma once

#include "front_context.h"
#include "suspect_request.h"
#include "upstream_pool.h"

#include <core/endpoint.h>

#include <string>

namespace ej::front {

/// Checks whether `endpoint`, whose connection broke during a request, has died. If so, counts its
/// death and reports it to the other daemons as possibly caused by `suspect`.
/// `context` and `pool` outlive the check.
void check_death(front_context& context, upstream_pool& pool, const core::endpoint& endpoint,
                 suspect_request suspect, const std::string& request);

} // namespace ej::front
