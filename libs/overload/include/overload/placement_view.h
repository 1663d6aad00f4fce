#pragma once

#include <overload/queue_state.h>
#include <overload/service_usage.h>

#include <forwarding/candidate.h>
#include <forwarding/endpoint_choice.h>
#include <forwarding/engine_profile.h>

#include <core/instant.h>

#include <cstdint>
#include <span>

namespace ej::overload {

/// What a placement is decided on. Refers to values that outlive the decision.
struct placement_view {
    std::span<const forwarding::candidate> engines;
    const forwarding::engine_profile& profile;
    const forwarding::endpoint_choice& choice; ///< Among the engines that have room.
    service_usage usage;
    queue_state queue;
    std::uint64_t turn = 0; ///< Breaks ties between equal engines.
    core::instant now{};
};

} // namespace ej::overload
