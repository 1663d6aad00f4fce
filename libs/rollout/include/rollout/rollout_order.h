#pragma once

#include <core/instant.h>
#include <core/revision.h>
#include <core/service_id.h>
#include <core/version_id.h>

#include <compare>

namespace ej::rollout {

/// An operator's request to move the traffic of a service to the endpoints of one version.
struct rollout_order {
    core::service_id service;
    core::version_id target;
    core::duration time{};   ///< In which the roll-out is to be complete; > 0.
    core::revision revision; ///< Of the order in the store; identifies it.

    friend auto operator<=>(const rollout_order&, const rollout_order&) = default;
};

} // namespace ej::rollout
