#include "forwarded_call.h"

#include "clock.h"

#include "call_log.h"
#include "draw_of.h"
#include "local_reply.h"
#include "retry_after.h"

#include <forwarding/step_in_backoff.h>

#include <algorithm>

namespace ej::front {

bool forwarded_call::may_send(const upstream_attempt& attempt) const
{
    return !environment_.context.stats.in_backoff(attempt.endpoint(), now());
}

void forwarded_call::note_backoff(const upstream_attempt& attempt)
{
    const auto& answer = attempt.answer();
    if (answer.status() != status_unavailable || !attempt.answer_is_own()) {
        return;
    }
    auto& context = environment_.context;
    const auto requested = retry_after_of(answer.headers(), context.headers.retry_after);
    if (!requested) {
        return;
    }
    context.stats.back_off(attempt.endpoint(), now() + requested->delay);
    context.metrics.count("endpoint_backoffs_total", {});
    log_backoff(request_id_, attempt.endpoint(), requested->delay);
}

std::optional<core::instant> forwarded_call::earliest_acceptance() const
{
    const auto at = now();
    std::optional<core::instant> earliest;
    for (const core::endpoint& one : allowed_endpoints()) {
        const auto next = environment_.context.stats.of(one).next_acceptance(at);
        if (next > at) {
            earliest = std::min(earliest.value_or(next), next);
        }
    }
    return earliest;
}

void forwarded_call::wait_or_give_up()
{
    if (refuse_if_too_late()) {
        return;
    }
    const auto at = now();
    const auto earliest = earliest_acceptance();
    if (!earliest) {
        give_up("no_endpoint", status_bad_gateway);
        return;
    }
    const forwarding::delayed_request delayed{deadline_, environment_.matched_route.target, waited_,
                                              draw_of(request_id_)};
    const auto step = forwarding::step_in_backoff(delayed, *earliest, at);
    if (!step.wait) {
        give_up("backoff", status_bad_gateway);
        return;
    }
    waited_ += step.delay;
    environment_.context.metrics.count("backoff_waits_total", {});
    log_backoff_wait(request_id_, step.delay, waited_);
    // An endpoint that refused this request meant it to come back.
    for (const core::endpoint& one : allowed_endpoints()) {
        if (!environment_.context.stats.of(one).accepts_requests(at)) {
            tried_.erase(one.name);
        }
    }
    send_after(step.delay);
}

void forwarded_call::send_after(core::duration delay)
{
    resend_timer_ = make_timer([this] {
        if (held_back(progress_.may_have_run) && !trial_goes_on()) {
            give_up("suspect", status_bad_gateway);
        }
        else {
            send();
        }
    });
    resend_timer_->set(now() + delay);
}

} // namespace ej::front
