#include "clock.h"
#include "forwarded_call.h"

#include <forwarding/requests_at.h>
#include <forwarding/step_after_silence.h>
#include <overload/engine_forecast.h>
#include <overload/memory_need.h>

#include <algorithm>

namespace ej::front {

const forwarding::engine_profile* forwarded_call::engine() const
{
    const auto* const service = environment_.rules->find_service(service_);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

std::uint64_t forwarded_call::memory_needed() const
{
    const auto* const profile = engine();
    return profile == nullptr
               ? 0
               : overload::memory_need(size_, environment_.context.usage.of(service_), *profile);
}

bool forwarded_call::may_move_from(const core::endpoint& endpoint, bool reachable)
{
    auto& context = environment_.context;
    const auto at = now();
    // The engine may only have queued the request, which would gain nothing in another queue.
    const bool may_be_queued = reachable && !progress_.had_output;
    const auto* const profile = engine();
    const auto memory = memory_needed();
    const auto runs_at_once = [&](const forwarding::candidate& one) {
        return forwarding::has_room(one, at) &&
               (profile == nullptr ||
                overload::has_memory(one.stats, memory, *profile, overload::usable_memory));
    };
    const bool other_engine = std::ranges::any_of(candidates(true), [&](const auto& one) {
        const bool same =
            one.what.name == endpoint.name && one.what.incarnation == endpoint.incarnation;
        return !same && one.stats.avoid_until <= at && (!may_be_queued || runs_at_once(one));
    });
    return forwarding::step_after_silence(progress_, environment_.matched_route, other_engine) ==
               forwarding::silence_step::move &&
           !held_back(true) && context.budget.take(service_, context.daemons, at);
}

} // namespace ej::front
