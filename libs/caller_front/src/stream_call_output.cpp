#include "clock.h"
#include "stream_call.h"

#include "answer_limits.h"
#include "call_log.h"

#include <forwarding/nominal_time_per_token.h>

#include <absl/strings/str_cat.h>

#include <chrono>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;

constexpr unsigned status_ok = 200;

} // namespace

void stream_call::on_head(upstream_attempt& attempt)
{
    if (&attempt != current_.get()) {
        return;
    }
    note_load(attempt);
    note_backoff(attempt);
    note_leaving(attempt);
    accepted_ = attempt.answer().status() == status_ok && trusted(attempt.answer());
    // Nothing in the body could change the outcome, and it may have no end.
    if (!accepted_ && end_of(attempt) == attempt_end::spoiled) {
        abandon_attempt(attempt_end::spoiled, absl::StrCat("status ", attempt.answer().status()));
        return;
    }
    if (accepted_ && head_.headers.empty()) {
        head_ = {status_ok, answer_fields(attempt.answer().headers()), {}};
    }
}

void stream_call::on_body(upstream_attempt& attempt, std::string part)
{
    if (&attempt != current_.get()) {
        return;
    }
    const auto gap = now() - silence_->last_output();
    if (!accepted_) {
        const auto size = failure_body_.size() + part.size();
        if (size > max_answer_bytes || !memory_.resize(size)) {
            abandon_attempt(attempt_end::spoiled, "answer exceeds the size limit");
            return;
        }
        failure_body_ += part;
        return;
    }
    const auto events = framer_.feed(part);
    // Several events that arrive together were delayed on the way and do not show the engine's
    // pace.
    if (flowing_ && events.size() == 1) {
        record_pace(attempt, gap);
    }
    if (flowing_ && !events.empty()) {
        record_token_time(gap, events.size());
    }
    deliver(attempt, events);
    if (over() || &attempt != current_.get()) {
        return;
    }
    // Bytes that complete no event are no output, and may have no end.
    if (!events.empty()) {
        silence_->note_output(bounds());
        silence_noted_ = false;
    }
    if (framer_.overflowed() || !memory_.resize(framer_.buffered())) {
        abandon_attempt(attempt_end::spoiled, "event exceeds the size limit");
    }
}

void stream_call::record_pace(const upstream_attempt& attempt, core::duration gap) const
{
    const auto* const profile = engine();
    if (profile == nullptr) {
        return;
    }
    const auto nominal = forwarding::nominal_time_per_token * double(profile->tokens_per_event);
    const std::chrono::duration<double, std::milli> actual(gap);
    environment_.context.stats.record_slowness(attempt.endpoint().where, actual / nominal);
}

void stream_call::record_token_time(core::duration gap, std::size_t events) const
{
    if (const auto* const profile = engine()) {
        const auto tokens = static_cast<core::duration::rep>(events * profile->tokens_per_event);
        environment_.context.usage.record_token_time(service_, gap / tokens);
    }
}

void stream_call::record_first_output(const upstream_attempt& attempt) const
{
    if (forecast_ == core::duration::zero()) {
        return;
    }
    const auto measured = now() - attempt.started();
    auto& context = environment_.context;
    context.usage.record_first_output(service_, forecast_, measured);
    context.metrics.observe("first_output_seconds", {{"value", "forecast"}}, forecast_);
    context.metrics.observe("first_output_seconds", {{"value", "measured"}}, measured);
    log_first_output(request_id_, attempt.endpoint(), forecast_, measured);
}

void stream_call::record_usage(const upstream_attempt& attempt) const
{
    const auto* const profile = engine();
    // An attempt that resumed a stream shows neither the whole time nor the whole output.
    if (profile != nullptr && progress_.runs == 0) {
        environment_.context.usage.record_stream(
            service_, size_, events_ * profile->tokens_per_event, now() - attempt.started());
    }
}

void stream_call::deliver(upstream_attempt& attempt, const std::vector<framed_event>& events)
{
    std::string out;
    for (const framed_event& event : events) {
        // An engine that reads the prompt again may repeat events that the caller has already
        // received.
        if (event.id && last_event_ && *event.id <= *last_event_) {
            continue;
        }
        last_event_ = event.id ? event.id : last_event_;
        ++events_;
        out += event.text;
    }
    if (out.empty()) {
        return;
    }
    if (!std::exchange(progress_.had_output, true)) {
        note_answer(attempt, rollout::answer_measure::first_output);
        environment_.context.parts.record_output(environment_.parts);
    }
    if (!std::exchange(flowing_, true)) {
        record_first_output(attempt);
        environment_.context.stats.first_output(attempt.endpoint().name,
                                                std::exchange(tokens_unread_, 0));
        report_load_change(attempt.endpoint());
        environment_.context.stats.succeeded(attempt.endpoint().name);
        pauses_ = 0;
    }
    const auto to = sink();
    if (to == nullptr) {
        return;
    }
    if (!std::exchange(progress_.delivering, true)) {
        to->start_stream(head_);
    }
    to->write(out);
}

void stream_call::on_complete(upstream_attempt& attempt)
{
    if (over() || &attempt != current_.get()) {
        return;
    }
    const auto self = shared_from_this();
    if (!accepted_) {
        const auto end = end_of(attempt);
        abandon_attempt(end, absl::StrCat("status ", attempt.answer().status()));
        return;
    }
    // Only the end of its connection ends an unframed answer; without an event it may have been
    // cut.
    const bool cut_short = attempt.unframed() && !flowing_;
    if (framer_.within_event() || !progress_.delivering || cut_short) {
        abandon_attempt(attempt_end::spoiled, "stream ended before its last event was complete");
        return;
    }
    record_usage(attempt);
    if (progress_.runs == 0) { // Otherwise it is only the rest of the stream.
        note_answer(attempt, rollout::answer_measure::whole);
    }
    release_load(attempt);
    cancel_attempts();
    if (const auto to = sink()) {
        to->finish();
    }
    finish("served", status_ok);
}

} // namespace ej::front
