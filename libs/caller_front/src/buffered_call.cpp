#include "buffered_call.h"
#include "clock.h"

#include "answer_limits.h"
#include "local_reply.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;
using forwarding::next_step;
using std::chrono::milliseconds;

// A healthy endpoint accepts a connection within a few round trips; two fifths of the target leave
// time for another endpoint. Without a target, the bounds below decide.
constexpr double connect_share_of_target = 0.4;
constexpr milliseconds shortest_connect{50};
constexpr milliseconds longest_connect{1'000};

// An idempotent call is hedged after this share of its target: late enough that most calls have
// ended, early enough that the second answer still meets the target.
constexpr double hedge_share_of_target = 0.5;

constexpr unsigned first_client_error = 400;
constexpr unsigned first_server_error = 500;

milliseconds share_of(milliseconds whole, double share)
{
    return milliseconds(static_cast<milliseconds::rep>(double(whole.count()) * share));
}

} // namespace

core::duration buffered_call::connect_timeout() const
{
    return std::clamp(share_of(environment_.matched_route.target, connect_share_of_target),
                      shortest_connect, longest_connect);
}

std::vector<buffered_call::running>::iterator buffered_call::find(const upstream_attempt& attempt)
{
    return std::ranges::find_if(running_,
                                [&](const running& one) { return one.attempt.get() == &attempt; });
}

void buffered_call::send()
{
    if (refuse_if_too_late()) {
        return;
    }
    const auto endpoint = choose(candidates(false));
    if (!endpoint) {
        wait_or_give_up();
        return;
    }
    running_.push_back({attempt_at(*endpoint, {}, connect_timeout()),
                        {},
                        byte_share(environment_.context.answer_bytes)});
    arm_hedge_timer();
}

void buffered_call::arm_hedge_timer()
{
    if (environment_.matched_route.kind != core::work_kind::idempotent ||
        environment_.matched_route.max_attempts < 2 ||
        environment_.matched_route.target.count() == 0 || hedge_timer_ != nullptr) {
        return;
    }
    hedge_timer_ = make_timer([this] { send_hedge(); });
    hedge_timer_->set(now() + share_of(environment_.matched_route.target, hedge_share_of_target));
}

void buffered_call::send_hedge()
{
    auto& context = environment_.context;
    if (running_.size() != 1 || progress_.runs + 1 >= environment_.matched_route.max_attempts) {
        return;
    }
    const auto endpoint = choose(candidates(false));
    if (!endpoint || !context.budget.take(service_, context.daemons, now())) {
        return;
    }
    context.metrics.count("second_sends_total", {});
    running_.push_back({attempt_at(*endpoint, {}, connect_timeout()),
                        {},
                        byte_share(environment_.context.answer_bytes)});
}

void buffered_call::on_head(upstream_attempt& attempt)
{
    note_load(attempt);
    note_backoff(attempt);
    note_leaving(attempt);
    // Nothing in the body could change the outcome, and it may have no end.
    const bool served = attempt.answer().success() && trusted(attempt.answer());
    if (!served && end_of(attempt) == attempt_end::spoiled) {
        attempt.cancel();
        on_end(attempt, attempt_end::spoiled,
               "status " + std::to_string(attempt.answer().status()));
    }
}

void buffered_call::on_body(upstream_attempt& attempt, std::string part)
{
    const auto one = find(attempt);
    if (one == running_.end()) {
        return;
    }
    const auto size = one->body.size() + part.size();
    if (size > max_answer_bytes || !one->memory.resize(size)) {
        attempt.cancel();
        on_end(attempt, attempt_end::spoiled, "answer exceeds the size limit");
        return;
    }
    one->body += part;
}

void buffered_call::on_complete(upstream_attempt& attempt)
{
    const auto one = find(attempt);
    if (over() || one == running_.end()) {
        return;
    }
    const auto self = shared_from_this();
    const auto kept = one->attempt;
    auto body = std::move(one->body);
    const auto& answer = attempt.answer();
    if (answer.success() && trusted(answer)) {
        running_.erase(one);
        release_load(attempt);
        note_answer(attempt, rollout::answer_measure::whole);
        note_overtaken(attempt.started());
        environment_.context.stats.succeeded(attempt.endpoint().name);
        cancel_attempts();
        pass_on(answer, std::move(body));
        return;
    }
    const auto end = end_of(attempt);
    running_.erase(one);
    record_failure(attempt, end, "status " + std::to_string(answer.status()));
    continue_after(end, attempt, std::move(body));
}

/// Counts the attempts that began before `started` and have no answer yet: they take at least so
/// long.
void buffered_call::note_overtaken(core::instant started)
{
    for (const running& one : running_) {
        if (one.attempt->sent() && one.attempt->started() < started) {
            note_answer(*one.attempt, rollout::answer_measure::whole);
        }
    }
}

void buffered_call::on_end(upstream_attempt& attempt, attempt_end end, const std::string& detail)
{
    const auto one = find(attempt);
    if (over() || one == running_.end()) {
        return;
    }
    const auto self = shared_from_this();
    const auto kept = one->attempt;
    running_.erase(one);
    record_failure(attempt, end, detail);
    continue_after(end, attempt, {});
}

/// Decides the next step after a failed attempt, unless another attempt is still running.
void buffered_call::continue_after(attempt_end end, const upstream_attempt& attempt,
                                   std::string body)
{
    if (!running_.empty()) {
        return;
    }
    // A client error is the endpoint's verdict on the request itself and final: another endpoint
    // would return the same. Not so a status that implies that the request was not executed.
    const unsigned status = end == attempt_end::failed ? attempt.answer().status() : 0;
    const bool is_final =
        status >= first_client_error && status < first_server_error && !promises_not_run(status);
    const auto step = is_final ? next_step::pass_failure : decide(end);
    if (step == next_step::send_again) {
        send();
    }
    else {
        conclude(step, end, attempt.answer(), std::move(body));
    }
}

void buffered_call::expire(std::string_view reason)
{
    progress_.may_have_run =
        progress_.may_have_run ||
        std::ranges::any_of(running_, [](const running& one) { return one.attempt->sent(); });
    note_overtaken(core::instant::max());
    cancel_attempts();
    give_up(reason, status_gateway_timeout);
}

void buffered_call::cancel_attempts()
{
    for (const running& one : std::exchange(running_, {})) {
        release_load(*one.attempt);
        one.attempt->cancel();
    }
    if (hedge_timer_ != nullptr) {
        hedge_timer_->stop();
    }
}

} // namespace ej::front
