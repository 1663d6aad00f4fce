#include "clock.h"
#include "stream_call.h"

#include "call_log.h"
#include "local_reply.h"

#include <overload/placement_view.h>
#include <overload/step_before.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace ej::front {

namespace {

/// Generations at `engines` that end in a second, as far as their usual run time is known.
double ends_per_second(const std::vector<forwarding::candidate>& engines, core::duration run_time)
{
    if (run_time <= core::duration::zero()) {
        return 0;
    }
    const double running = std::transform_reduce(
        engines.begin(), engines.end(), 0.0, std::plus<>(), [](const forwarding::candidate& one) {
            return double(one.stats.in_flight) + double(one.stats.others_in_flight);
        });
    return running / std::chrono::duration<double>(run_time).count();
}

} // namespace

overload::generation_demand stream_call::demand() const
{
    overload::generation_demand made;
    made.service = service_;
    made.workspace = environment_.workspace;
    made.size = size_;
    made.arrived = request_.arrived;
    if (environment_.matched_route.target.count() > 0) {
        made.first_output_by = request_.arrived + environment_.matched_route.target;
    }
    made.deadline = deadline_;
    made.may_have_run = progress_.may_have_run;
    made.waiting = ticket_.has_value();
    made.resumed = progress_.delivering;
    return made;
}

std::optional<overload::placement_step>
stream_call::step_for(const std::vector<forwarding::candidate>& engines) const
{
    auto& context = environment_.context;
    const auto at = now();
    const auto usage = context.usage.of(service_);
    overload::queue_state queue;
    queue.ends_per_second = ends_per_second(engines, usage.run_time);
    if (!ticket_) {
        const auto here = context.waiting.of(service_);
        queue.ahead = here + context.budget.waiting_elsewhere(service_, at);
        queue.others_first = here > 0;
    }
    const overload::placement_view view{
        engines, *engine(), *context.choice, usage, queue, context.choices_made.fetch_add(1), at};
    const auto asked = demand();
    const auto step = context.placement->place(asked, view);
    return step ? std::optional(overload::step_before(calls_end(), *step, asked, view)) : step;
}

bool stream_call::outlasts_daemon() const
{
    const auto engines = candidates(true);
    if (engine() == nullptr || engines.empty()) {
        return forwarded_call::outlasts_daemon();
    }
    const auto step = step_for(engines);
    return step && step->kind == overload::placement_kind::too_late;
}

/// Sends the request to one of `engines`, lets it wait for a place or refuses it.
void stream_call::place(const std::vector<forwarding::candidate>& engines)
{
    if (engine() == nullptr) {
        if (!refuse_if_too_late()) {
            send_to(*choose(engines), false);
        }
        return;
    }
    if (const auto step = step_for(engines)) {
        follow(*step, engines);
    }
}

/// False if the call goes on waiting.
bool stream_call::follow(const overload::placement_step& step,
                         const std::vector<forwarding::candidate>& engines)
{
    using overload::placement_kind;
    const bool waits_on = ticket_ && step.kind == placement_kind::wait;
    if (waits_on) {
        return false;
    }
    environment_.context.metrics.count("placements_total",
                                       {{"step", std::string(to_string(step.kind))}});
    log_placement(request_id_, step, now() - request_.arrived);
    if (step.kind == placement_kind::send) {
        if (ticket_) {
            environment_.waiting.grant(*std::exchange(ticket_, std::nullopt));
        }
        forecast_ = step.first_output;
        send_to(engines[step.engine].what, false);
    }
    else if (step.kind == placement_kind::refuse) {
        stop_waiting();
        refuse("no_capacity", step.come_back);
    }
    else if (step.kind == placement_kind::too_late) {
        stop_waiting();
        refuse("leaving", usual_return_delay);
    }
    else {
        const auto self = std::static_pointer_cast<stream_call>(shared_from_this());
        const auto ticket = environment_.waiting.add(self, demand(), body_->size());
        if (!over()) {
            ticket_ = ticket;
        }
    }
    return true;
}

void stream_call::stop_waiting()
{
    if (const auto ticket = std::exchange(ticket_, std::nullopt)) {
        environment_.waiting.remove(*ticket);
    }
}

bool stream_call::take_turn()
{
    const auto self = shared_from_this();
    if (held_back(progress_.may_have_run) && !trial_goes_on()) {
        stop_waiting();
        give_up("suspect", status_bad_gateway);
        return true;
    }
    const auto untried = candidates(false);
    const auto engines = untried.empty() ? candidates(true) : untried;
    if (engines.empty() || engine() == nullptr) {
        stop_waiting();
        send();
        return true;
    }
    const auto step = step_for(engines);
    return step && follow(*step, engines);
}

void stream_call::leave(std::string_view reason)
{
    const auto self = shared_from_this();
    ticket_.reset();
    give_up(reason, status_gateway_timeout);
}

} // namespace ej::front
