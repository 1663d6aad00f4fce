#include <generation/rules.h>

#include <generation/token_digest.h>

#include <array>
#include <cassert>
#include <utility>

namespace ej::generation {

namespace {

transition dropped(const state& from, cause why)
{
    return {from, {}, why};
}

effect make_effect(effect_kind kind, const state& from, cause why = cause::none)
{
    return {kind, from.attempt, from.next, from.endpoint, {}, why};
}

transition end_with(state from, effect_kind kind, cause why)
{
    auto last = make_effect(kind, from, why);
    from.phase = phase::ended;
    return {from, {std::move(last)}};
}

} // namespace

rules::rules(std::shared_ptr<const loss_policy> policy, limits bounds)
    : policy_(std::move(policy)), limits_(bounds)
{
    assert(policy_ != nullptr);
}

rules::handler rules::handler_of(event_kind kind)
{
    static constexpr std::array<handler, event_kind_count> handlers{
        &rules::placed,     &rules::no_engine, &rules::rejected,          &rules::opened,
        &rules::tokens,     &rules::finished,  &rules::aborted,           &rules::closed,
        &rules::silent,     &rules::alive,     &rules::attempt_not_found, &rules::unreachable,
        &rules::caller_gone};
    return handlers.at(static_cast<std::size_t>(kind));
}

transition rules::begin(const state& from) const
{
    if (from.phase == phase::checking) {
        return {from, {make_effect(effect_kind::check, from)}};
    }
    return {from, {make_effect(effect_kind::place, from)}};
}

transition rules::next(const state& from, const event& received) const
{
    if (from.phase == phase::ended) {
        return dropped(from, cause::none);
    }
    if (received.kind != event_kind::caller_gone && received.attempt != from.attempt) {
        return dropped(from, cause::stale_attempt);
    }
    return (this->*handler_of(received.kind))(from, received);
}

transition rules::placed(const state& from, const event& received) const
{
    if (from.phase != phase::placing) {
        return dropped(from, cause::none);
    }
    state to = from;
    to.phase = phase::opening;
    to.endpoint = received.endpoint;
    return {to, {make_effect(effect_kind::open, to)}};
}

transition rules::no_engine(const state& from, const event&) const
{
    if (from.phase != phase::placing) {
        return dropped(from, cause::none);
    }
    return end_with(from, effect_kind::fail, cause::no_endpoint);
}

transition rules::rejected(const state& from, const event&) const
{
    if (from.phase != phase::opening) {
        return dropped(from, cause::none);
    }
    return supersede(from, cause::engine_rejected);
}

// The engine reports which text it continues. If that is not the delivered text, the answer would
// mix two generations, even at the right offset. A second `opened` line on the same connection is
// checked in the same way.
transition rules::opened(const state& from, const event& received) const
{
    if (from.phase != phase::opening && from.phase != phase::streaming) {
        return dropped(from, cause::none);
    }
    if (received.offset != from.next) {
        return supersede(from, cause::wrong_offset);
    }
    if (received.digest != from.text) {
        return supersede(from, cause::other_text);
    }
    state to = from;
    to.phase = phase::streaming;
    return {to, {}};
}

transition rules::tokens(const state& from, const event& received) const
{
    if (from.phase != phase::streaming) {
        return dropped(from, cause::none);
    }
    if (received.offset > from.next) {
        return reattach(from, cause::gap);
    }
    if (received.offset.plus(received.tokens.size()) <= from.next) {
        return dropped(from, cause::repeated_tokens);
    }
    return deliver(from, received);
}

transition rules::deliver(const state& from, const event& received) const
{
    const auto repeated = static_cast<std::ptrdiff_t>(from.next.value() - received.offset.value());
    effect delivery = make_effect(effect_kind::deliver, from);
    delivery.tokens.assign(received.tokens.begin() + repeated, received.tokens.end());
    state to = from;
    to.next = from.next.plus(delivery.tokens.size());
    to.text = extend(from.text, delivery.tokens);
    to.reattachments = 0;
    to.silences = 0;
    return {to, {std::move(delivery)}};
}

transition rules::finished(const state& from, const event& received) const
{
    if (from.phase != phase::streaming) {
        return dropped(from, cause::none);
    }
    if (received.offset > from.next) {
        return reattach(from, cause::gap);
    }
    if (received.offset < from.next) {
        return supersede(from, cause::other_text);
    }
    return end_with(from, effect_kind::finish, cause::none);
}

transition rules::aborted(const state& from, const event&) const
{
    if (from.phase != phase::streaming && from.phase != phase::opening) {
        return dropped(from, cause::none);
    }
    return supersede(from, cause::engine_aborted);
}

transition rules::closed(const state& from, const event&) const
{
    return connection_lost(from, cause::connection_lost);
}

transition rules::silent(const state& from, const event&) const
{
    return connection_lost(from, cause::silence);
}

transition rules::connection_lost(const state& from, cause why) const
{
    if (from.phase != phase::streaming && from.phase != phase::opening) {
        return dropped(from, cause::none);
    }
    if (!policy_->checks_before_restart(why, from.restarts)) {
        return supersede(from, why);
    }
    state to = from;
    to.phase = phase::checking;
    if (why == cause::silence) {
        to.phase_before_check = from.phase;
        return {to, {make_effect(effect_kind::check, to, why)}};
    }
    to.phase_before_check = phase::checking;
    return {to,
            {make_effect(effect_kind::close, to, why), make_effect(effect_kind::check, to, why)}};
}

// An engine that has no tokens beyond the delivered ones is slow, and its silent connection may
// still be usable, so reattaching would gain nothing.
transition rules::alive(const state& from, const event& received) const
{
    if (from.phase != phase::checking) {
        return dropped(from, cause::none);
    }
    if (from.phase_before_check == phase::checking || received.offset > from.next) {
        return reattach(from, cause::none);
    }
    if (from.silences >= limits_.max_silences) {
        return supersede(from, cause::no_progress);
    }
    state to = from;
    to.phase = from.phase_before_check;
    ++to.silences;
    return {to, {}};
}

transition rules::attempt_not_found(const state& from, const event&) const
{
    if (from.phase != phase::checking) {
        return dropped(from, cause::none);
    }
    return supersede(from, cause::engine_forgot);
}

transition rules::unreachable(const state& from, const event&) const
{
    if (from.phase != phase::checking && from.phase != phase::opening) {
        return dropped(from, cause::none);
    }
    return supersede(from, cause::engine_unreachable);
}

transition rules::caller_gone(const state& from, const event&) const
{
    state to = from;
    to.phase = phase::ended;
    transition result{to, {make_effect(effect_kind::close, from, cause::caller_gone)}};
    if (!from.endpoint.empty()) {
        result.effects.push_back(make_effect(effect_kind::cancel, from, cause::caller_gone));
    }
    return result;
}

transition rules::reattach(const state& from, cause why) const
{
    if (from.reattachments >= limits_.max_reattachments) {
        return supersede(from, why);
    }
    state to = from;
    to.phase = phase::opening;
    ++to.reattachments;
    return {to,
            {make_effect(effect_kind::close, to, why), make_effect(effect_kind::attach, to, why)}};
}

// The attempt number is incremented before the old attempt is cancelled, so anything that the old
// engine still sends belongs to a lower attempt and is dropped.
transition rules::supersede(const state& from, cause why) const
{
    const bool engine_lost =
        why == cause::engine_unreachable || why == cause::engine_forgot || why == cause::silence;
    state to = from;
    to.losses += engine_lost ? 1 : 0;
    ++to.restarts;
    to.reattachments = 0;
    to.silences = 0;
    to.phase_before_check = phase::checking;
    to.attempt = from.attempt.next();
    to.phase = phase::placing;
    to.endpoint = {};
    transition result{to, {make_effect(effect_kind::close, from, why)}};
    if (!from.endpoint.empty()) {
        result.effects.push_back(make_effect(effect_kind::cancel, from, why));
    }
    if (to.losses >= limits_.max_losses || to.restarts >= limits_.max_restarts) {
        auto last = end_with(to, effect_kind::fail, cause::too_many_losses);
        result.state = last.state;
        result.effects.push_back(std::move(last.effects.front()));
        return result;
    }
    auto place = make_effect(effect_kind::place, to, why);
    place.endpoint = from.endpoint;
    result.effects.push_back(std::move(place));
    return result;
}

} // namespace ej::generation
