#pragma once

#include <forwarding/call_size.h>

#include <core/instant.h>
#include <core/service_id.h>
#include <core/workspace_id.h>

#include <compare>

namespace ej::overload {

/// A generation that asks for a place at an engine.
struct generation_demand {
    core::service_id service;
    core::workspace_id workspace; ///< Empty for a caller without a key.
    forwarding::call_size size;   ///< As declared by the caller; may be wrong.
    core::instant arrived{};
    core::instant first_output_by = core::instant::max(); ///< From the route's target.
    core::instant deadline = core::instant::max();        ///< Of the complete answer.
    bool may_have_run = false; ///< An engine may have begun it, so it is not refused.
    bool waiting = false;      ///< Waits for a place already.
    bool resumed = false;      ///< Part of its answer was delivered.

    friend auto operator<=>(const generation_demand&, const generation_demand&) = default;
};

} // namespace ej::overload
