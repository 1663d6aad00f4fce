#include <overload/step_before.h>

#include <overload/completion_forecast.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace ej::overload {

namespace {

core::duration completion_at(const forwarding::candidate& engine, const generation_demand& demand,
                             const placement_view& view)
{
    return completion_time(engine, demand, view.profile, view.usage, view.now);
}

/// The time from now on to the last output, at the fastest engine for a generation that waits.
core::duration time_to_end(const placement_step& step, const generation_demand& demand,
                           const placement_view& view)
{
    if (step.kind == placement_kind::send) {
        return completion_at(view.engines[step.engine], demand, view);
    }
    std::vector<core::duration> times;
    std::ranges::transform(view.engines, std::back_inserter(times),
                           [&](const auto& engine) { return completion_at(engine, demand, view); });
    return view.queue.wait() + *std::ranges::min_element(times);
}

} // namespace

placement_step step_before(core::instant end, const placement_step& step,
                           const generation_demand& demand, const placement_view& view)
{
    const bool may_be_refused = !demand.may_have_run && !demand.resumed;
    if (end == core::instant::max() || !may_be_refused || step.kind == placement_kind::refuse ||
        view.now + time_to_end(step, demand, view) <= end) {
        return step;
    }
    return {placement_kind::too_late, 0, step.first_output, {}};
}

} // namespace ej::overload
