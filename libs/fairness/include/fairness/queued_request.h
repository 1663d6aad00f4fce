#pragma once

#include <core/instant.h>
#include <core/request_id.h>
#include <core/workspace_id.h>

#include <compare>

namespace ej::fairness {

/// A request that waits in a fair queue.
struct queued_request {
    core::request_id request;
    core::workspace_id workspace;
    double work = 1;           ///< Expected tokens, or 1 for a plain call; > 0.
    core::instant arrived{};   ///< When the caller's request arrived.
    core::instant finish_by{}; ///< Deadline from the class's target for the complete response.
    core::instant start_by{core::instant::max()}; ///< Deadline for the first output.

    friend auto operator<=>(const queued_request&, const queued_request&) = default;
};

} // namespace ej::fairness
