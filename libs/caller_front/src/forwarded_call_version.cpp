#include "forwarded_call.h"

#include "clock.h"

#include "draw_of.h"

#include <algorithm>
#include <iterator>

namespace ej::front {

namespace {

/// Of requests, not equal to the draw by which `draw_service` splits them between services.
rollout::share version_draw(const std::string& request_id)
{
    return static_cast<rollout::share>(draw_of(request_id + "/version") % rollout::whole_share);
}

} // namespace

std::optional<rollout::version_rule> forwarded_call::version_rule() const
{
    const auto state = environment_.context.rollouts.of(service_);
    if (state == nullptr) {
        return std::nullopt;
    }
    // One that failed at the target is not another sample of it.
    const bool is_sample = !target_failed_ || state->to_target(now()) == rollout::whole_share;
    return state->rule_for(is_sample ? version_draw(request_id_) : rollout::whole_share, now());
}

std::vector<core::endpoint> forwarded_call::allowed_endpoints() const
{
    const auto available_endpoints = environment_.context.endpoints.load();
    const auto& all = available_endpoints->of(service_);
    const auto rule = version_rule();
    std::vector<core::endpoint> allowed;
    std::ranges::copy_if(all, std::back_inserter(allowed), [&](const core::endpoint& one) {
        return !rule || rule->keeps(one.version);
    });
    return allowed.empty() && rule && rule->allows_others() ? all : allowed;
}

void forwarded_call::await_answer(const upstream_attempt& attempt)
{
    // A stream that goes on has had its first output.
    if (!progress_.had_output && environment_.context.rollouts.of(service_) != nullptr) {
        samples_[&attempt] = environment_.context.rollouts.await(
            service_, attempt.endpoint().version, environment_.matched_route.name, now());
    }
}

void forwarded_call::note_answer(const upstream_attempt& attempt, rollout::answer_measure measure)
{
    samples_.erase(&attempt);
    auto& rollouts = environment_.context.rollouts;
    if (rollouts.of(service_) != nullptr) {
        rollouts.record({service_, attempt.endpoint().version, environment_.matched_route.name,
                         measure, now() - attempt.started()});
    }
}

} // namespace ej::front
