#include "history.h"

#include <generation/token_digest.h>

#include <algorithm>
#include <span>
#include <utility>

namespace ej::generation {

history::history(rules decide, std::vector<std::string> truth)
    : decide_(std::move(decide)), truth_(std::move(truth))
{
    const auto begun = decide_.begin(state_);
    std::ranges::for_each(begun.effects, [this](const effect& one) { carry_out(one); });
}

event history::named(event_kind kind) const
{
    event what;
    what.kind = kind;
    what.attempt = state_.attempt;
    return what;
}

event history::line(std::uint64_t from, std::uint64_t count) const
{
    auto what = named(event_kind::tokens);
    what.offset = core::token_offset(from);
    for (auto i = from; i < std::min<std::uint64_t>(from + count, truth_.size()); ++i) {
        what.tokens.push_back(honest_ ? truth_[i] : "other ");
    }
    return what;
}

void history::hand_in(const event& what)
{
    const auto decided = decide_.next(state_, what);
    state_ = decided.state;
    std::ranges::for_each(decided.effects, [this](const effect& one) { carry_out(one); });
}

void history::carry_out(const effect& what)
{
    if (what.kind == effect_kind::deliver) {
        in_order_ = in_order_ && what.offset.value() == answer_.size();
        answer_.insert(answer_.end(), what.tokens.begin(), what.tokens.end());
    }
    finished_ = finished_ || what.kind == effect_kind::finish;
    failed_ = failed_ || what.kind == effect_kind::fail;
    if (what.kind == effect_kind::cancel) {
        cancelled_.push_back(what.attempt);
    }
}

bool history::all_superseded_cancelled() const
{
    return std::ranges::all_of(placed_, [this](core::attempt_number attempt) {
        return attempt == state_.attempt || std::ranges::count(cancelled_, attempt) == 1;
    });
}

void history::open(core::token_offset offset, core::digest digest, bool honest)
{
    honest_ = honest;
    sent_ = offset.value();
    auto what = named(event_kind::opened);
    what.offset = offset;
    what.digest = digest;
    hand_in(what);
}

event history::question_answered(history_step step) const
{
    if (step == history_step::forgotten) {
        return named(event_kind::forgotten);
    }
    if (step == history_step::unreachable || step == history_step::silent) {
        return named(event_kind::unreachable);
    }
    auto alive = named(event_kind::alive);
    alive.offset = step == history_step::honest_line ? state_.next.next() : state_.next;
    return alive;
}

void history::play(history_step step)
{
    if (step == history_step::caller_gone) {
        hand_in(named(event_kind::caller_gone));
        return;
    }
    if (state_.phase == phase::placing) {
        auto placed = named(event_kind::placed);
        placed.endpoint = core::endpoint_id("engine-" + std::to_string(state_.attempt.value()));
        placed_.push_back(state_.attempt);
        hand_in(placed);
    }
    else if (state_.phase == phase::checking) {
        hand_in(question_answered(step));
    }
    else {
        stream(step);
    }
}

void history::stream(history_step step)
{
    constexpr std::uint64_t line_tokens = 3;
    const auto true_digest = extend(core::digest(), std::span(answer_));
    const auto total = core::token_offset(truth_.size());
    auto what = named(event_kind::closed);
    switch (step) {
    case history_step::rejected:
        what = named(event_kind::rejected);
        break;
    case history_step::open_at_wrong_offset:
        open(state_.next.plus(1), extend(true_digest, std::span(truth_).subspan(0, 1)), false);
        return;
    case history_step::open_with_other_text:
        open(state_.next, true_digest.plus(1), false);
        return;
    case history_step::aborted:
        what = named(event_kind::aborted);
        break;
    case history_step::silent:
    case history_step::unreachable:
        what = named(event_kind::silent);
        break;
    case history_step::closed:
    case history_step::forgotten:
        break;
    case history_step::repeated_line:
        what = line(sent_ - std::min<std::uint64_t>(sent_, line_tokens), line_tokens);
        break;
    case history_step::overlapping_line:
        what = line(sent_ - std::min<std::uint64_t>(sent_, 1), line_tokens);
        break;
    case history_step::skipped_line:
        sent_ += 1;
        what = line(sent_, line_tokens);
        break;
    case history_step::stale_line:
        what = line(state_.next.value(), line_tokens);
        what.attempt = core::attempt_number(state_.attempt.value() - 1);
        std::ranges::fill(what.tokens, "stale ");
        break;
    case history_step::early_end:
        // An engine may stop at any token: only a total below what it sent is a fault.
        if (state_.next.value() > 0) {
            what = named(event_kind::finished);
            what.offset = core::token_offset(state_.next.value() - 1);
        }
        break;
    case history_step::late_end:
        what = named(event_kind::finished);
        what.offset = total;
        break;
    default:
        if (state_.phase == phase::opening) {
            open(state_.next, true_digest, true);
            return;
        }
        if (sent_ >= truth_.size()) {
            what = named(event_kind::finished);
            what.offset = total;
            break;
        }
        what = line(sent_, line_tokens);
        sent_ += what.tokens.size();
        break;
    }
    if (what.kind == event_kind::tokens && step == history_step::overlapping_line) {
        sent_ = std::max(sent_, what.offset.value() + what.tokens.size());
    }
    hand_in(what);
}

void history::run_honestly()
{
    while (state_.phase != phase::ended) {
        play(history_step::honest_line);
    }
}

} // namespace ej::generation
