#pragma once

#include "front_context.h"
#include "upstream_pool.h"
#include "waiting_calls.h"

#include <forwarding/indexed_ruleset.h>
#include <forwarding/route.h>
#include <suspects/part_digest.h>

#include <core/workspace_id.h>

#include <memory>
#include <vector>

namespace ej::front {

/// Shared state, route and workspace that a call works with.
struct call_environment {
    front_context& context;
    upstream_pool& pool;
    waiting_calls& waiting;
    std::shared_ptr<const forwarding::indexed_ruleset> rules; ///< Keeps `matched_route` alive.
    const forwarding::route& matched_route;
    core::workspace_id workspace;                ///< Empty for a caller without a key.
    std::vector<suspects::part_digest> parts;    ///< Of the prompt, shared with other requests.
    std::vector<suspects::part_digest> trial_of; ///< Held parts, in spite of which it is sent.
};

} // namespace ej::front
