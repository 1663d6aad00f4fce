#pragma once

#include <core/revision.h>
#include <core/service_id.h>

#include <compare>

namespace ej::rollout {

/// The target of this order was found to be bad: no daemon sends to it any more.
struct rollout_verdict {
    core::service_id service;
    core::revision order;

    friend auto operator<=>(const rollout_verdict&, const rollout_verdict&) = default;
};

} // namespace ej::rollout
