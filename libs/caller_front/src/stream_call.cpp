#include "stream_call.h"
#include "clock.h"

#include "answer_limits.h"
#include "call_log.h"
#include "local_reply.h"

#include <forwarding/backup_choice.h>
#include <forwarding/resume_pause.h>
#include <forwarding/step_after_silence.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;
using forwarding::next_step;
using forwarding::silence_step;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{200};
// Pause before engines that were already tried are tried again.
constexpr milliseconds resend_pause{100};

} // namespace

stream_call::stream_call(call_environment environment, caller_request request,
                         std::weak_ptr<reply_sink> sink)
    : forwarded_call(std::move(environment), std::move(request), std::move(sink)),
      memory_(environment_.context.answer_bytes)
{
}

std::optional<core::endpoint> stream_call::copy_holder() const
{
    // Used even if other requests failed there recently: reading the prompt again costs more.
    auto& context = environment_.context;
    const auto rule = version_rule();
    const bool usable = copy_at_ && (!rule || rule->keeps(copy_at_->version)) &&
                        context.endpoints.load()->lists(*copy_at_) &&
                        !context.stats.in_backoff(*copy_at_, now());
    return usable ? copy_at_ : std::nullopt;
}

std::optional<core::endpoint> stream_call::choose_copy(const core::endpoint& runner) const
{
    auto& context = environment_.context;
    const auto* const profile = engine();
    if (!context.settings.backups || !environment_.matched_route.resumable || profile == nullptr ||
        !profile->keeps_backups) {
        return std::nullopt;
    }
    auto all = candidates(true);
    if (!context.copies.admits(all, *profile)) {
        context.metrics.count("copies_dropped_total", {{"reason", "memory"}});
        return std::nullopt;
    }
    const auto memory = memory_needed();
    std::erase_if(all, [&](const forwarding::candidate& one) {
        return !overload::copy_gate::has_room(one, memory, *profile);
    });
    const auto chosen =
        forwarding::choose_backup(all, runner, context.choices_made.fetch_add(1), now());
    return chosen ? std::optional(all[*chosen].what) : std::nullopt;
}

void stream_call::send()
{
    if (const auto holder = copy_holder()) {
        send_to(*holder, true);
        return;
    }
    const auto untried = candidates(false);
    const auto all = untried.empty() ? candidates(true) : untried;
    if (all.empty() && progress_.delivering) {
        wait_to_resume(earliest_acceptance() ? "backoff" : "no_endpoint");
    }
    else if (all.empty()) {
        wait_or_give_up();
    }
    else if (untried.empty()) {
        allow_tried();
        send_after(resend_pause);
    }
    else {
        place(all);
    }
}

/// Allows the engines that were tried already, but those that were left for their silence only if
/// there is no other: one that could not keep a stream before is likely to fail it again.
void stream_call::allow_tried()
{
    const auto all = candidates(true);
    const auto was_left = [&](const forwarding::candidate& one) {
        return std::ranges::any_of(left_silent_, [&](const core::endpoint& left) {
            return left.name == one.what.name && left.incarnation == one.what.incarnation;
        });
    };
    tried_.clear();
    if (std::ranges::all_of(all, was_left)) {
        left_silent_.clear();
        return;
    }
    for (const auto& one : all) {
        if (was_left(one)) {
            tried_.insert(one.what.name);
        }
    }
}

/// Pauses a stream that cannot go on at any engine now. It ends with its deadline.
void stream_call::wait_to_resume(std::string_view reason)
{
    const auto pause = forwarding::resume_pause(pauses_++);
    log_resume_pause(request_id_, reason, pause);
    environment_.context.metrics.count("resume_pauses_total", {{"reason", std::string(reason)}});
    allow_tried();
    resend_timer_ = make_timer([this] { resume(); });
    resend_timer_->set(now() + pause);
}

void stream_call::resume()
{
    auto& context = environment_.context;
    if (!copy_holder() && candidates(true).empty()) {
        wait_to_resume(earliest_acceptance() ? "backoff" : "no_endpoint");
    }
    else if (!send_allowed_ && !context.budget.take(service_, context.daemons, now())) {
        wait_to_resume("budget");
    }
    else {
        send_allowed_ = true;
        send();
    }
}

void stream_call::send_to(const core::endpoint& endpoint, bool from_copy)
{
    request_head head;
    head.resume_after = last_event_;
    if (from_copy) {
        head.memory_from = absl::StrCat(core::to_string(endpoint.where), "/", request_id_);
    }
    copy_at_ = choose_copy(endpoint);
    copy_memory_.release();
    if (copy_at_) {
        copy_memory_ = placed_memory(environment_.context.stats, copy_at_->name, memory_needed());
        // Otherwise the next full report is early enough.
        if (environment_.context.copies.places_are_scarce()) {
            report_load_change(*copy_at_);
        }
        head.backup_at = core::to_string(copy_at_->where);
    }
    accepted_ = flowing_ = send_allowed_ = false;
    from_copy_ = from_copy;
    framer_ = event_framer();
    failure_body_.clear();
    memory_.release();
    current_ = attempt_at(endpoint, std::move(head), connect_timeout);
    monitor_silence(endpoint);
}

void stream_call::monitor_silence(const core::endpoint& endpoint)
{
    if (silence_ == nullptr) {
        const std::weak_ptr<forwarded_call> weak = weak_from_this();
        silence_ = std::make_shared<silence_monitor>(
            environment_.pool,
            [this, weak](const silence_report& seen) {
                const auto self = weak.lock();
                if (self != nullptr && !over() && current_ != nullptr) {
                    handle_silence(seen);
                }
            },
            [this, weak] {
                const auto self = weak.lock();
                return self != nullptr && current_ != nullptr && may_send(*current_);
            });
    }
    silence_noted_ = false;
    silence_->note_output(bounds());
    // Each liveness check takes one of the engine's connections, so it is only made if the stream
    // could move.
    if (step_after_silence(progress_, environment_.matched_route, true) == silence_step::move) {
        silence_->begin(endpoint.where, bounds());
    }
}

void stream_call::handle_silence(const silence_report& seen)
{
    const auto silent = current_->endpoint();
    const auto step =
        may_move_from(silent, seen.reachable) ? silence_step::move : silence_step::stay;
    if (step == silence_step::move || !std::exchange(silence_noted_, true)) {
        log_silence(request_id_, silent, seen, step);
        environment_.context.metrics.count("silences_total",
                                           {{"step", std::string(to_string(step))}});
    }
    if (step == silence_step::move) {
        const auto self = shared_from_this();
        take_failed(attempt_end::silent, seen.detail);
        left_silent_.push_back(silent);
        send_allowed_ = true;
        send();
    }
}

void stream_call::on_end(upstream_attempt& attempt, attempt_end end, const std::string& detail)
{
    if (over() || &attempt != current_.get()) {
        return;
    }
    abandon_attempt(end, detail);
}

void stream_call::abandon_attempt(attempt_end end, const std::string& detail)
{
    const auto self = shared_from_this();
    const auto lost = take_failed(end, detail);
    const auto step = decide(end);
    if (step == next_step::send_again) {
        send_allowed_ = true;
        send();
    }
    else if (step == next_step::wait) {
        wait_to_resume(progress_.budget_left ? to_string(end) : "budget");
    }
    else {
        conclude(step, end, lost->answer(), std::move(failure_body_));
    }
}

/// Cancels the current attempt and records its failure.
forwarded_call::attempt_ptr stream_call::take_failed(attempt_end end, const std::string& detail)
{
    const auto lost = std::exchange(current_, nullptr);
    silence_->stop();
    lost->cancel();
    record_failure(*lost, end, detail);
    if (end == attempt_end::silent && !progress_.had_output) {
        note_answer(*lost, rollout::answer_measure::first_output); // It takes at least so long.
    }
    if (from_copy_ || !flowing_) {
        // There is no copy, or the attempt to resume from it failed: the next attempt reads the
        // prompt again.
        copy_at_.reset();
    }
    return lost;
}

forwarding::silence_timeouts stream_call::bounds() const
{
    using forwarding::stream_stage;
    const auto before_output = from_copy_ ? stream_stage::resuming : stream_stage::reading_prompt;
    return silence_timeouts_for(environment_.matched_route,
                                flowing_ ? stream_stage::streaming : before_output);
}

void stream_call::expire(std::string_view reason)
{
    progress_.may_have_run = progress_.may_have_run || (current_ != nullptr && current_->sent());
    cancel_attempts();
    give_up(reason, status_gateway_timeout);
}

void stream_call::cancel_attempts()
{
    stop_waiting();
    copy_memory_.release();
    if (const auto running = std::exchange(current_, nullptr)) {
        release_load(*running);
        running->cancel();
    }
    if (silence_ != nullptr) {
        silence_->stop();
    }
}

} // namespace ej::front
