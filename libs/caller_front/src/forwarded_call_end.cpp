#include "forwarded_call.h"

#include "clock.h"

#include "call_log.h"
#include "draw_of.h"
#include "local_reply.h"

#include <forwarding/step_in_backoff.h>

#include <utility>

namespace ej::front {

void forwarded_call::pass_on(const answer_parser& answer, std::string body)
{
    const auto to = sink();
    if (to != nullptr) {
        to->reply({answer.status(), answer_fields(answer.headers()), std::move(body)});
    }
    finish(answer.success() ? "served" : "endpoint_failure", answer.status());
}

void forwarded_call::conclude(forwarding::next_step step, forwarding::attempt_end end,
                              const answer_parser& answer, std::string body)
{
    if (step == forwarding::next_step::pass_failure && !promises_not_run(answer.status())) {
        pass_on(answer, std::move(body));
    }
    else if (step == forwarding::next_step::refuse) {
        refuse(to_string(end));
    }
    else {
        fail(to_string(end), status_bad_gateway);
    }
}

void forwarded_call::refuse(std::string_view reason, std::optional<core::duration> come_back)
{
    if (const auto to = sink()) {
        const auto earliest = come_back                  ? now() + *come_back
                              : candidates(true).empty() ? earliest_acceptance()
                                                         : std::optional<core::instant>();
        const auto delay = earliest
                               ? forwarding::return_delay(*earliest, draw_of(request_id_), now())
                               : core::duration(usual_return_delay);
        to->reply(local_refusal(reason, request_id_, environment_.context.headers, delay));
    }
    environment_.context.metrics.count("refusals_total", {{"reason", std::string(reason)}});
    finish("refused:" + std::string(reason), status_unavailable);
}

void forwarded_call::fail(std::string_view reason, unsigned status)
{
    const auto to = sink();
    if (to != nullptr && progress_.delivering) {
        to->abort();
        environment_.context.metrics.count("answers_cut_total", {{"reason", std::string(reason)}});
    }
    else if (to != nullptr) {
        to->reply(local_reply(status, reason, request_id_, environment_.context.headers));
    }
    environment_.context.metrics.count("failures_total", {{"reason", std::string(reason)}});
    finish("failed:" + std::string(reason), status);
}

core::instant forwarded_call::calls_end() const
{
    const auto schedule = *environment_.context.schedule.load();
    return schedule ? schedule->calls_end : core::instant::max();
}

bool forwarded_call::outlasts_daemon() const
{
    return deadline_ > calls_end();
}

bool forwarded_call::refuse_if_too_late()
{
    if (progress_.may_have_run || progress_.delivering || !outlasts_daemon()) {
        return false;
    }
    cancel_attempts();
    refuse("leaving", usual_return_delay);
    return true;
}

void forwarded_call::review()
{
    if (over_ || is_running()) {
        return;
    }
    const auto self = shared_from_this();
    refuse_if_too_late();
}

void forwarded_call::give_up(std::string_view reason, unsigned status)
{
    if (progress_.may_have_run || progress_.delivering) {
        fail(reason, status);
        return;
    }
    refuse(reason);
}

void forwarded_call::finish(std::string_view outcome, unsigned status)
{
    if (std::exchange(over_, true)) {
        return;
    }
    deadline_timer_->stop();
    if (!environment_.trial_of.empty() && !trial_counted_) {
        environment_.context.parts.return_trial(environment_.trial_of);
    }
    if (resend_timer_ != nullptr) {
        resend_timer_->stop();
    }
    if (outcome == "served" && environment_.context.suspects.clear(digest_)) {
        environment_.context.suspect_cleared({digest_});
    }
    if (outcome == "served" && !progress_.had_output) {
        environment_.context.parts.record_output(environment_.parts);
    }
    const auto took = now() - request_.arrived;
    environment_.context.metrics.observe("call_seconds",
                                         {{"route", environment_.matched_route.name}}, took);
    const bool listed =
        last_endpoint_ && environment_.context.endpoints.load()->lists(*last_endpoint_);
    const auto rules_now = *environment_.context.rules.load();
    log_call_end(request_id_, environment_.matched_route,
                 last_endpoint_ ? last_endpoint_->name.text() : std::string(), progress_,
                 {std::string(outcome), status,
                  progress_.delivering && outcome.starts_with("failed"), last_failure_, listed,
                  environment_.rules->rules().version, rules_now->rules().version, took,
                  time_left()});
}

} // namespace ej::front
