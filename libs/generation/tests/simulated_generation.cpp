#include "simulated_generation.h"

#include <generation/token_digest.h>

#include <algorithm>
#include <span>
#include <utility>

namespace ej::generation {

simulated_generation::simulated_generation(rules decide, std::vector<std::string> full_text)
    : decide_(std::move(decide)), full_text_(std::move(full_text))
{
    const auto begun = decide_.begin(state_);
    std::ranges::for_each(begun.effects, [this](const effect& one) { apply_effect(one); });
}

event simulated_generation::make_event(event_kind kind) const
{
    event received;
    received.kind = kind;
    received.attempt = state_.attempt;
    return received;
}

event simulated_generation::token_line(std::uint64_t from, std::uint64_t count) const
{
    auto received = make_event(event_kind::tokens);
    received.offset = core::token_offset(from);
    for (auto i = from; i < std::min<std::uint64_t>(from + count, full_text_.size()); ++i) {
        received.tokens.push_back(continues_text_ ? full_text_[i] : "other ");
    }
    return received;
}

void simulated_generation::apply_event(const event& received)
{
    const auto decided = decide_.next(state_, received);
    state_ = decided.state;
    std::ranges::for_each(decided.effects, [this](const effect& one) { apply_effect(one); });
}

void simulated_generation::apply_effect(const effect& received)
{
    if (received.kind == effect_kind::deliver) {
        in_order_ = in_order_ && received.offset.value() == answer_.size();
        answer_.insert(answer_.end(), received.tokens.begin(), received.tokens.end());
    }
    finished_ = finished_ || received.kind == effect_kind::finish;
    failed_ = failed_ || received.kind == effect_kind::fail;
    if (received.kind == effect_kind::cancel) {
        cancelled_.push_back(received.attempt);
    }
}

bool simulated_generation::all_superseded_cancelled() const
{
    return std::ranges::all_of(placed_, [this](core::attempt_number attempt) {
        return attempt == state_.attempt || std::ranges::count(cancelled_, attempt) == 1;
    });
}

void simulated_generation::open(core::token_offset offset, core::digest digest, bool continues_text)
{
    continues_text_ = continues_text;
    sent_ = offset.value();
    auto received = make_event(event_kind::opened);
    received.offset = offset;
    received.digest = digest;
    apply_event(received);
}

event simulated_generation::check_result(simulation_step step) const
{
    if (step == simulation_step::attempt_not_found) {
        return make_event(event_kind::attempt_not_found);
    }
    if (step == simulation_step::unreachable || step == simulation_step::silent) {
        return make_event(event_kind::unreachable);
    }
    auto alive = make_event(event_kind::alive);
    alive.offset = step == simulation_step::next_line ? state_.next.next() : state_.next;
    return alive;
}

void simulated_generation::play(simulation_step step)
{
    if (step == simulation_step::caller_gone) {
        apply_event(make_event(event_kind::caller_gone));
        return;
    }
    if (state_.phase == phase::placing) {
        auto placed = make_event(event_kind::placed);
        placed.endpoint = core::endpoint_id("engine-" + std::to_string(state_.attempt.value()));
        placed_.push_back(state_.attempt);
        apply_event(placed);
    }
    else if (state_.phase == phase::checking) {
        apply_event(check_result(step));
    }
    else {
        stream(step);
    }
}

void simulated_generation::stream(simulation_step step)
{
    constexpr std::uint64_t line_tokens = 3;
    const auto delivered_digest = extend(core::digest(), std::span(answer_));
    const auto total = core::token_offset(full_text_.size());
    auto received = make_event(event_kind::closed);
    switch (step) {
    case simulation_step::rejected:
        received = make_event(event_kind::rejected);
        break;
    case simulation_step::open_at_wrong_offset:
        open(state_.next.plus(1), extend(delivered_digest, std::span(full_text_).subspan(0, 1)),
             false);
        return;
    case simulation_step::open_with_other_text:
        open(state_.next, delivered_digest.plus(1), false);
        return;
    case simulation_step::aborted:
        received = make_event(event_kind::aborted);
        break;
    case simulation_step::silent:
    case simulation_step::unreachable:
        received = make_event(event_kind::silent);
        break;
    case simulation_step::closed:
    case simulation_step::attempt_not_found:
        break;
    case simulation_step::repeated_line:
        received = token_line(sent_ - std::min<std::uint64_t>(sent_, line_tokens), line_tokens);
        break;
    case simulation_step::overlapping_line:
        received = token_line(sent_ - std::min<std::uint64_t>(sent_, 1), line_tokens);
        break;
    case simulation_step::skipped_line:
        sent_ += 1;
        received = token_line(sent_, line_tokens);
        break;
    case simulation_step::stale_line:
        received = token_line(state_.next.value(), line_tokens);
        received.attempt = core::attempt_number(state_.attempt.value() - 1);
        std::ranges::fill(received.tokens, "stale ");
        break;
    case simulation_step::early_end:
        // An engine may stop at any token; only a total lower than the tokens sent is a fault.
        if (state_.next.value() > 0) {
            received = make_event(event_kind::finished);
            received.offset = core::token_offset(state_.next.value() - 1);
        }
        break;
    case simulation_step::late_end:
        received = make_event(event_kind::finished);
        received.offset = total;
        break;
    default:
        if (state_.phase == phase::opening) {
            open(state_.next, delivered_digest, true);
            return;
        }
        if (sent_ >= full_text_.size()) {
            received = make_event(event_kind::finished);
            received.offset = total;
            break;
        }
        received = token_line(sent_, line_tokens);
        sent_ += received.tokens.size();
        break;
    }
    if (received.kind == event_kind::tokens && step == simulation_step::overlapping_line) {
        sent_ = std::max(sent_, received.offset.value() + received.tokens.size());
    }
    apply_event(received);
}

void simulated_generation::run_without_faults()
{
    while (state_.phase != phase::ended) {
        play(simulation_step::next_line);
    }
}

} // namespace ej::generation
