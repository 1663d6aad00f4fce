#include "rollout_keeper.h"

#include <algorithm>
#include <chrono>

namespace ej::front {

namespace {

// A daemon with fewer requests since the order does not tell the rate of all.
constexpr std::uint64_t least_sample = 10;

} // namespace

/// The rate of the budget's window, or that since the order if it is higher: the window may have
/// begun before the traffic.
double rollout_keeper::requests_per_second(const core::service_id& service,
                                           const rollout::rollout_state& state,
                                           core::instant at) const
{
    const auto in_window = context_.budget.requests_per_second(service, at);
    std::uint64_t seen = 0;
    for (const auto& [route, answers] : context_.rollouts.answers_of(service, at)) {
        seen += answers.target.answers() + answers.others.answers();
    }
    const std::chrono::duration<double> since = at - state.began;
    if (seen < least_sample || since.count() <= 0) {
        return in_window;
    }
    return std::max(in_window, double(seen) * double(context_.daemons) / since.count());
}

void rollout_keeper::count_answers(const rollout::rollout_report& made) const
{
    rollout::route_answers sum;
    for (const auto& [route, answers] : made.answers) {
        sum += answers;
    }
    const auto set = [&](const char* version, const rollout::answer_counts& counts) {
        context_.metrics.set("rollout_answers",
                             {{"service", made.service.text()}, {"version", version}},
                             double(counts.answers()));
        context_.metrics.set("rollout_failed_answers",
                             {{"service", made.service.text()}, {"version", version}},
                             double(counts.failed));
    };
    set("target", sum.target);
    set("others", sum.others);
    context_.metrics.set("rollout_runs_elsewhere", {{"service", made.service.text()}},
                         double(made.runs_elsewhere));
}

rollout::rollout_view rollout_keeper::view_of(const core::service_id& service,
                                              const rollout::rollout_state& state,
                                              const watched& by, core::instant at) const
{
    const auto members = context_.parts.members.load();
    rollout::rollout_view view;
    view.since_order = at - state.began;
    view.requests_per_second = requests_per_second(service, state, at);
    view.room = room_of(*state.order);
    view.members = members->size();
    view.heard = by.evidence.heard_of(*members, at);
    for (const auto& [route, answers] : by.evidence.total(at)) {
        view.target_answers += answers.target.answers();
    }
    view.suspicion = by.judge.suspicion();
    view.handed_over = by.evidence.handed_over(rollout::whole_share, at);
    view.may_resume = may_resume(service);
    return view;
}

std::uint32_t rollout_keeper::runs_elsewhere(const rollout::rollout_order& order) const
{
    std::uint32_t running = 0;
    const auto available = context_.endpoints.load();
    for (const core::endpoint& one : available->of(order.service)) {
        running += one.version == order.target ? 0 : context_.stats.of(one).in_flight;
    }
    return running;
}

rollout::version_room rollout_keeper::room_of(const rollout::rollout_order& order) const
{
    rollout::version_room room;
    const auto available = context_.endpoints.load();
    for (const core::endpoint& one : available->of(order.service)) {
        (one.version == order.target ? room.target : room.others) += one.slots;
    }
    return room;
}

bool rollout_keeper::may_resume(const core::service_id& service) const
{
    const auto rules = *context_.rules.load();
    return rules != nullptr &&
           std::ranges::all_of(rules->rules().routes, [&](const forwarding::route& one) {
               const bool uses = std::ranges::any_of(
                   one.backends, [&](const auto& by) { return by.service == service; });
               return !uses || (one.kind == core::work_kind::generation && one.resumable);
           });
}

} // namespace ej::front
