#pragma once

#include <core/instant.h>
#include <core/request_id.h>
#include <core/workspace_id.h>

#include <compare>

namespace ej::fairness {

/// A request that waits for its workspace's share.
struct claim {
    core::request_id request;
    core::workspace_id workspace;
    double work = 1;                              ///< Expected tokens, or 1 for a plain call; > 0.
    core::instant arrived{};                      ///< When the caller's request came in.
    core::instant finish_by{};                    ///< When the class's target for the finish ends.
    core::instant start_by{core::instant::max()}; ///< When that for the first output ends.

    friend auto operator<=>(const claim&, const claim&) = default;
};

} // namespace ej::fairness
