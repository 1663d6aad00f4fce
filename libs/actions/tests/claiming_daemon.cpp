#include "claiming_daemon.h"

#include <utility>

namespace ej::actions::model {

namespace {

using namespace std::chrono_literals;

constexpr auto submission_timeout = 2s;
constexpr auto ticket_lifetime = 10min;
constexpr std::size_t result_bytes = 32;

action_event event_of(event_kind kind)
{
    action_event event;
    event.kind = kind;
    return event;
}

action_event attempt_event(event_kind kind, core::attempt_number attempt)
{
    action_event event = event_of(kind);
    event.attempt = attempt;
    return event;
}

action_event event_of(const claim_verdict& verdict)
{
    constexpr std::array<event_kind, 4> kinds{event_kind::bound, event_kind::bind_conflict,
                                              event_kind::bind_stale, event_kind::bind_failed};
    action_event event = event_of(kinds.at(static_cast<std::size_t>(verdict.kind)));
    event.owner = verdict.owner;
    event.nonce = verdict.nonce;
    return event;
}

action_id id_of(const request& wanted)
{
    return {0, static_cast<std::uint64_t>(wanted.key)};
}

} // namespace

claim_limits model_limits()
{
    claim_limits limits;
    limits.buckets = 1;
    return limits;
}

claiming_daemon::claiming_daemon(fleet_model& fleet, int at)
    : fleet_(fleet), at_(at), started_(fleet.now(at)), records_({}, result_bytes),
      claims_(model_limits()), tickets_(fleet.owner_at(at), ticket_lifetime),
      clock_(actions::started(fleet.now(at), fleet.wall(at)))
{
}

void claiming_daemon::submit(const request& wanted, std::optional<claim_nonce> forwarded,
                             const outcome_callback& on_outcome)
{
    const waiter_id waiter(++last_waiter_);
    const core::instant now = fleet_.now(at_);
    open_[waiter] = {wanted, now + submission_timeout, on_outcome};
    action_event event = event_of(event_kind::submitted);
    event.arrival = {waiter,
                     forwarded ? action_origin::forwarded_claim : action_origin::claim,
                     {0, static_cast<std::uint64_t>(wanted.variant)},
                     now + submission_timeout,
                     now + model_limits().retention,
                     forwarded.value_or(claim_nonce()),
                     fleet_.draining(at_)};
    if (wanted.key_ticket) {
        if (!tickets_.issued(*wanted.key_ticket)) {
            forward_submission(waiter, wanted.key_ticket->issuer, {});
            return;
        }
        event.arrival.origin = action_origin::ticket;
        event.arrival.keep_until = started_ + wanted.key_ticket->expires_after_start;
    }
    arrived_.insert_or_assign(id_of(wanted), earliest_arrival(clock_));
    apply(id_of(wanted), event);
}

std::optional<ticket> claiming_daemon::issue()
{
    return tickets_.issue(
        core::workspace_id("w"), core::class_id("c"),
        std::chrono::duration_cast<std::chrono::milliseconds>(fleet_.now(at_) - started_));
}

void claiming_daemon::tick()
{
    const core::instant now = fleet_.now(at_);
    clock_ = after_tick(clock_, now, fleet_.wall(at_));
    const auto open = open_;
    for (const auto& [waiter, submission] : open) {
        if (submission.deadline > now) {
            continue;
        }
        if (submission.forwarded_to_owner) {
            answer(waiter, unknown(unknown_reason::owner_unreachable));
        }
        else {
            apply(id_of(submission.wanted), event_of(event_kind::deadline));
        }
    }
    records_.expire(now);
}

void claiming_daemon::apply(const action_id& action, action_event event)
{
    event.at = fleet_.now(at_);
    for (const action_effect& effect : records_.apply(action, std::move(event))) {
        perform(action, effect);
    }
}

void claiming_daemon::perform(const action_id& action, const action_effect& effect)
{
    switch (effect.kind) {
    case effect_kind::claim:
        return claim_key(action, effect.nonce);
    case effect_kind::connect:
        return connect(action, effect.waiter, effect.attempt);
    case effect_kind::send:
        return send(action, effect.attempt);
    case effect_kind::forward:
        return forward_submission(effect.waiter, effect.owner, effect.nonce);
    case effect_kind::answer:
        return answer(effect.waiter, effect.outcome);
    }
}

void claiming_daemon::answer(waiter_id waiter, const action_outcome& outcome)
{
    if (const auto found = open_.extract(waiter)) {
        found.mapped().on_outcome(outcome);
    }
}

void claiming_daemon::connect(const action_id& action, waiter_id source,
                              core::attempt_number attempt)
{
    if (const auto brought = open_.find(source); brought != open_.end()) {
        running_[action] = brought->second.wanted;
    }
    fleet_.call(
        at_,
        [=, this] {
            return [=, this] { apply(action, attempt_event(event_kind::connected, attempt)); };
        },
        [=, this] { apply(action, attempt_event(event_kind::connect_failed, attempt)); });
}

void claiming_daemon::send(const action_id& action, core::attempt_number attempt)
{
    const request wanted = running_.at(action);
    const auto serve = [=, this, &fleet = fleet_]() -> std::function<void()> {
        const auto result = fleet.execute(wanted);
        action_event event =
            attempt_event(result ? event_kind::answered : event_kind::answered_not_run, attempt);
        event.result = result.value_or(action_result{});
        return [=, this] { apply(action, event); };
    };
    fleet_.call(at_, serve,
                [=, this] { apply(action, attempt_event(event_kind::connection_lost, attempt)); });
}

void claiming_daemon::forward_submission(waiter_id waiter, const owner& to, claim_nonce nonce)
{
    auto& submission = open_.at(waiter);
    submission.forwarded_to_owner = true;
    fleet_.forward(at_, to, submission.wanted, nonce,
                   [=, this](const action_outcome& outcome) { answer(waiter, outcome); });
}

void claiming_daemon::claim_key(const action_id& action, claim_nonce nonce)
{
    bucket_writer_event event;
    event.kind = bucket_writer_event_kind::claim_wanted;
    event.wanted = {action, fleet_.owner_at(at_), nonce, arrived_.at(action)};
    apply(claims_.bucket_of(action), event);
}

void claiming_daemon::apply(bucket_number bucket, bucket_writer_event event)
{
    event.at = fleet_.wall(at_);
    event.now = fleet_.now(at_);
    for (const bucket_writer_effect& effect : claims_.apply(bucket, event)) {
        perform(bucket, effect);
    }
}

void claiming_daemon::perform(bucket_number bucket, const bucket_writer_effect& effect)
{
    fleet_model& fleet = fleet_; // Messages outlive a crashed daemon, but not the fleet.
    const auto report_kind = [=, this](bucket_writer_event_kind kind) {
        return [=, this] {
            bucket_writer_event event;
            event.kind = kind;
            apply(bucket, event);
        };
    };
    const auto report_event = [=, this](const bucket_writer_event& event) -> std::function<void()> {
        return [=, this] { apply(bucket, event); };
    };
    switch (effect.kind) {
    case bucket_writer_effect_kind::schedule:
        return fleet_.timer(at_, report_kind(bucket_writer_event_kind::call_due));
    case bucket_writer_effect_kind::read:
        return fleet_.call_store(
            at_, [=, &fleet] { return report_event(fleet.read(bucket.value())); },
            report_kind(bucket_writer_event_kind::read_failed));
    case bucket_writer_effect_kind::write:
        return fleet_.call_store(
            at_,
            [=, &fleet] {
                return report_event(fleet.write(bucket.value(), effect.bucket, effect.revision));
            },
            report_kind(bucket_writer_event_kind::write_failed));
    case bucket_writer_effect_kind::settle:
        return report(effect.verdict);
    }
}

void claiming_daemon::report(const claim_verdict& verdict)
{
    apply(verdict.claim.action, event_of(verdict));
}

} // namespace ej::actions::model
