#include "whole_call.h"
#include "clock.h"

#include "own_answer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;
using forwarding::next_step;
using std::chrono::milliseconds;

// Longest whole answer; longer ones count as spoiled.
constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;

// A healthy endpoint accepts a connection within a few round trips; two fifths of the target leave
// time for another endpoint. Without a target, the bounds below decide.
constexpr double connect_share = 0.4;
constexpr milliseconds shortest_connect{50};
constexpr milliseconds longest_connect{1'000};

// An idempotent call is sent a second time after this share of its target: late enough that most
// calls have ended, early enough that the second answer still meets the target.
constexpr double second_send_share = 0.5;

constexpr unsigned first_client_error = 400;
constexpr unsigned first_server_error = 500;

milliseconds share_of(milliseconds whole, double share)
{
    return milliseconds(static_cast<milliseconds::rep>(double(whole.count()) * share));
}

} // namespace

core::duration whole_call::connect_timeout() const
{
    return std::clamp(share_of(setting_.by.target, connect_share), shortest_connect,
                      longest_connect);
}

std::vector<whole_call::running>::iterator whole_call::find(const upstream_attempt& attempt)
{
    return std::ranges::find_if(running_,
                                [&](const running& one) { return one.attempt.get() == &attempt; });
}

void whole_call::send()
{
    const auto endpoint = choose(candidates(false));
    if (!endpoint) {
        give_up("no_endpoint", status_bad_gateway);
        return;
    }
    running_.push_back({attempt_at(*endpoint, {}, connect_timeout()), {}});
    arm_second_send();
}

void whole_call::arm_second_send()
{
    if (setting_.by.kind != core::work_kind::idempotent || setting_.by.max_attempts < 2 ||
        setting_.by.target.count() == 0 || second_timer_ != nullptr) {
        return;
    }
    second_timer_ = make_timer([this] { second_send(); });
    second_timer_->set(now() + share_of(setting_.by.target, second_send_share));
}

void whole_call::second_send()
{
    auto& context = setting_.context;
    if (running_.size() != 1 || progress_.runs + 1 >= setting_.by.max_attempts) {
        return;
    }
    const auto endpoint = choose(candidates(false));
    if (!endpoint || !context.budget.take(service_, context.daemons, now())) {
        return;
    }
    context.metrics.count("second_sends_total", {});
    running_.push_back({attempt_at(*endpoint, {}, connect_timeout()), {}});
}

void whole_call::on_head(upstream_attempt& attempt)
{
    note_load(attempt);
}

void whole_call::on_body(upstream_attempt& attempt, std::string part)
{
    const auto one = find(attempt);
    if (one == running_.end()) {
        return;
    }
    one->body += part;
    if (one->body.size() > max_answer_bytes) {
        attempt.cancel();
        on_end(attempt, attempt_end::spoiled, "answer is too long");
    }
}

void whole_call::on_complete(upstream_attempt& attempt)
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
        settle(attempt);
        setting_.context.standing.succeeded(attempt.endpoint().name);
        cancel_attempts();
        pass_on(answer, std::move(body));
        return;
    }
    const auto end = end_of(answer);
    running_.erase(one);
    note_end(attempt, end, "status " + std::to_string(answer.status()));
    follow(end, attempt, std::move(body));
}

void whole_call::on_end(upstream_attempt& attempt, attempt_end end, const std::string& detail)
{
    const auto one = find(attempt);
    if (over() || one == running_.end()) {
        return;
    }
    const auto self = shared_from_this();
    const auto kept = one->attempt;
    running_.erase(one);
    note_end(attempt, end, detail);
    follow(end, attempt, {});
}

/// Goes on after an attempt's bad end, unless another one still runs.
void whole_call::follow(attempt_end end, const upstream_attempt& attempt, std::string body)
{
    if (!running_.empty()) {
        return;
    }
    // An endpoint's word on the request itself is final: another endpoint would say the same.
    const unsigned status = end == attempt_end::failed ? attempt.answer().status() : 0;
    const bool final_word =
        status >= first_client_error && status < first_server_error && !promises_not_run(status);
    const auto step = final_word ? next_step::pass_failure : decide(end);
    if (step == next_step::send_again) {
        send();
    }
    else {
        end_by(step, end, attempt.answer(), std::move(body));
    }
}

void whole_call::expire(std::string_view reason)
{
    progress_.may_have_run =
        progress_.may_have_run ||
        std::ranges::any_of(running_, [](const running& one) { return one.attempt->sent(); });
    cancel_attempts();
    give_up(reason, status_gateway_timeout);
}

void whole_call::cancel_attempts()
{
    for (const running& one : std::exchange(running_, {})) {
        settle(*one.attempt);
        one.attempt->cancel();
    }
    if (second_timer_ != nullptr) {
        second_timer_->stop();
    }
}

} // namespace ej::front
