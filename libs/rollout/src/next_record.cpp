#include <rollout/next_record.h>

#include <rollout/trial_plan.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace ej::rollout {

namespace {

using std::chrono::milliseconds;

// Above this, a test is on its way to its threshold, and no further step is taken.
constexpr double calm = 0.35;
// The target needs this part of the room of the other versions before it takes all requests.
constexpr double least_room = 0.6;

milliseconds in_ms(core::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

/// What a step is decided from.
struct situation {
    const rollout_order& order;
    const rollout_record& known;
    const rollout_view& view;
    const trial_plan plan;
};

using step = std::optional<rollout_record>;

rollout_record step_to(const situation& at, rollout_phase phase, share to_target,
                       std::string reason)
{
    return {
        at.order.revision,          at.order.target,  phase, to_target, to_target, milliseconds(0),
        in_ms(at.view.since_order), std::move(reason)};
}

std::string answers_text(const rollout_view& view)
{
    return absl::StrCat(view.target_answers, " answers, suspicion ", view.suspicion, ", daemons ",
                        view.heard, " of ", view.members);
}

bool has_quorum(const rollout_view& view)
{
    return 2 * view.heard > view.members;
}

bool has_room(const rollout_view& view)
{
    return view.room.target > 0 &&
           double(view.room.target) >= least_room * double(view.room.others);
}

step after_trial(const situation& at)
{
    const bool tried =
        at.view.since_order >= at.known.until && at.view.target_answers >= at.plan.least_answers;
    if (tried && at.view.suspicion < calm && has_quorum(at.view) && has_room(at.view)) {
        const auto more = std::min(2 * std::max(at.plan.first, at.plan.later), whole_share);
        return step_to(at, rollout_phase::ramp, more, answers_text(at.view));
    }
    if (at.view.since_order >= at.order.time) {
        return final_record(
            at.order, rollout_phase::rolled_back, at.view.since_order,
            absl::StrCat("not enough good answers in time: ", answers_text(at.view)));
    }
    return std::nullopt;
}

step after_ramp(const situation& at)
{
    const bool due = at.view.since_order >= at.known.written + at.plan.ramp_step;
    if (!due || at.view.suspicion >= calm || !has_quorum(at.view) || !has_room(at.view)) {
        return std::nullopt;
    }
    const auto more = std::min(2 * at.known.to_target, whole_share);
    return step_to(at, more == whole_share ? rollout_phase::handover : rollout_phase::ramp, more,
                   answers_text(at.view));
}

step after_handover(const situation& at)
{
    if (!has_quorum(at.view) || at.view.suspicion >= calm || at.view.room.target == 0) {
        return std::nullopt;
    }
    // What can resume is not lost, and is moved rather than late for the order.
    const bool late = at.view.since_order >= at.plan.latest_handover;
    if (at.view.handed_over || (late && at.view.may_resume)) {
        return final_record(at.order, rollout_phase::succeeded, at.view.since_order,
                            at.view.handed_over ? "no run is left at other versions"
                                                : "the runs that are left resume elsewhere");
    }
    return std::nullopt;
}

step after_end(const situation& /*at*/)
{
    return std::nullopt;
}

using rule = step (*)(const situation&);

// By phase, in the order of `rollout_phase`.
constexpr std::array<rule, 5> rules{&after_trial, &after_ramp, &after_handover, &after_end,
                                    &after_end};

} // namespace

rollout_record final_record(const rollout_order& order, rollout_phase phase,
                            core::duration since_order, std::string reason)
{
    const share to_target = phase == rollout_phase::succeeded ? whole_share : 0;
    return {order.revision,     order.target,     phase, to_target, to_target, milliseconds(0),
            in_ms(since_order), std::move(reason)};
}

step next_record(const rollout_order& order, const std::optional<rollout_record>& known,
                 const rollout_view& view, const rollout_limits& limits)
{
    const auto plan = plan_for(order.time, limits, view.requests_per_second);
    if (!known || known->order != order.revision) {
        // The trial begins when there is an endpoint to try, so that it has its whole time.
        if (view.room.target == 0 && view.since_order < order.time) {
            return std::nullopt;
        }
        return rollout_record{order.revision,
                              order.target,
                              rollout_phase::trial,
                              std::max(plan.most, plan.later),
                              plan.later,
                              in_ms(view.since_order + plan.trial),
                              in_ms(view.since_order),
                              "trial begins"};
    }
    return rules.at(static_cast<std::size_t>(known->phase))({order, *known, view, plan});
}

} // namespace ej::rollout
