#include "fleet_model.h"

#include <actions/arrival_clock.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::actions::model {

namespace {

using namespace std::chrono_literals;

constexpr int host_count = 3;
// The clocks of this host stop while it is paused and then lag behind; those of other hosts
// continue.
constexpr int host_with_stopping_clock = 2;
constexpr std::size_t chosen_keys = 2;
// Callers do not resend a key that they chose after this time.
constexpr auto longest_retry = 10min;
constexpr std::array<core::duration, 6> time_steps{1ms, 50ms, 2s, 9min, 12min, 30min};

std::function<void()> once(std::shared_ptr<bool> done, std::function<void()> action)
{
    return [done = std::move(done), action = std::move(action)] {
        if (!std::exchange(*done, true)) {
            action();
        }
    };
}

} // namespace

const std::array<fleet_model::handler, operation_count> fleet_model::handlers{
    &fleet_model::deliver, &fleet_model::drop,    &fleet_model::linger, &fleet_model::submit,
    &fleet_model::issue,   &fleet_model::advance, &fleet_model::crash,  &fleet_model::pause,
    &fleet_model::wake,    &fleet_model::outage,  &fleet_model::cut,    &fleet_model::refuse,
    &fleet_model::drain};

fleet_model::fleet_model(factory make)
    : make_(std::move(make)), hosts_(host_count), keys_(chosen_keys)
{
    for (int at = 0; at < host_count; ++at) {
        start(at);
    }
}

void fleet_model::run(const history& steps)
{
    for (const step& next : steps) {
        (this->*handlers.at(static_cast<std::size_t>(next.what)))(next);
    }
    heal_and_deliver_all();
}

void fleet_model::heal_and_deliver_all()
{
    outage_ = false;
    for (int at = 0; at < host_count; ++at) {
        wake({operation::wake, static_cast<std::size_t>(at)});
        hosts_.at(at).cut_from_store = false;
        hosts_.at(at).cut_from_peers = false;
    }
    for (int round = 0; round < 8; ++round) {
        while (!messages_.empty()) {
            take(0).deliver();
        }
        advance_time(2s);
    }
}

std::string fleet_model::violated_guarantee() const
{
    for (const auto& [key, runs] : executions) {
        if (runs.size() > 1) {
            return "key " + std::to_string(key) + " ran " + std::to_string(runs.size()) + " times";
        }
    }
    for (const submitted& caller : callers) {
        const std::string name = "key " + std::to_string(caller.wanted.key);
        const auto found = executions.find(caller.wanted.key);
        const bool has_run = found != executions.end() &&
                             std::ranges::count(found->second, caller.wanted.variant) > 0;
        const bool connected = hosts_.at(caller.at_host).incarnation == caller.incarnation;
        if (connected && !caller.received) {
            return name + ": a submission was never answered";
        }
        if (caller.received && caller.received->kind == outcome_kind::not_run && has_run) {
            return name + " ran although the answer was \"not run\"";
        }
        if (caller.received && caller.received->kind == outcome_kind::ran && !has_run) {
            return name + " did not run, but the answer was \"ran\"";
        }
    }
    return {};
}

void fleet_model::start(int at)
{
    host& fresh = hosts_.at(at);
    ++fresh.incarnation;
    fresh.inbox.clear();
    fresh.draining = false;
    fresh.running = make_(*this, at);
}

void fleet_model::at_host(int at, int incarnation, const std::function<void()>& action)
{
    if (hosts_.at(at).incarnation != incarnation) {
        return;
    }
    if (hosts_.at(at).paused) {
        hosts_.at(at).inbox.push_back(action);
        return;
    }
    action();
}

void fleet_model::call(int from, const std::function<std::function<void()>()>& serve,
                       const std::function<void()>& lost)
{
    const int incarnation = hosts_.at(from).incarnation;
    const auto done = std::make_shared<bool>(false);
    const auto fail = once(done, [=, this] { at_host(from, incarnation, lost); });
    const auto deliver = [=, this] {
        const auto reply =
            once(done, [=, this, answer = serve()] { at_host(from, incarnation, answer); });
        messages_.push_back({reply, fail});
    };
    messages_.push_back({deliver, fail});
}

void fleet_model::call_store(int from, const std::function<std::function<void()>()>& serve,
                             const std::function<void()>& lost)
{
    ++store_calls;
    if (hosts_.at(from).cut_from_store) {
        timer(from, lost);
        return;
    }
    call(from, [=, this] { return outage_ ? lost : serve(); }, lost);
}

void fleet_model::forward(int from, const owner& to, const request& wanted, claim_nonce nonce,
                          const outcome_callback& on_outcome)
{
    const int incarnation = hosts_.at(from).incarnation;
    const auto done = std::make_shared<bool>(false);
    const auto lost = once(done, [=, this] {
        at_host(from, incarnation, [=] { on_outcome(unknown(unknown_reason::owner_unreachable)); });
    });
    const auto answer = [=, this](const action_outcome& outcome) {
        const auto received =
            once(done, [=, this] { at_host(from, incarnation, [=] { on_outcome(outcome); }); });
        messages_.push_back({received, lost});
    };
    const auto deliver = [=, this] {
        for (int at = 0; at < host_count; ++at) {
            const bool partitioned = hosts_.at(at).cut_from_peers || hosts_.at(from).cut_from_peers;
            if (owner_at(at) == to && !partitioned) {
                at_host(at, hosts_.at(at).incarnation,
                        [=, this] { hosts_.at(at).running->submit(wanted, nonce, answer); });
                return;
            }
        }
        lost();
    };
    messages_.push_back({deliver, lost});
}

void fleet_model::timer(int from, const std::function<void()>& action)
{
    const int incarnation = hosts_.at(from).incarnation;
    const auto fire =
        once(std::make_shared<bool>(false), [=, this] { at_host(from, incarnation, action); });
    messages_.push_back({fire, fire});
}

std::optional<action_result> fleet_model::execute(const request& wanted)
{
    if (refusals_ > 0) {
        --refusals_;
        return std::nullopt;
    }
    auto& runs = executions[wanted.key];
    runs.push_back(wanted.variant);
    return action_result{200, "text/plain", std::to_string(runs.size())};
}

bucket_writer_event fleet_model::read(std::uint64_t bucket) const
{
    const auto found = store_.find(bucket);
    bucket_writer_event event;
    event.kind = bucket_writer_event_kind::read_answered;
    if (found != store_.end()) {
        event.bucket = found->second.first;
        event.revision = core::revision(found->second.second);
    }
    return event;
}

bucket_writer_event fleet_model::write(std::uint64_t bucket, const claim_bucket& value,
                                       core::revision expected)
{
    bucket_writer_event event;
    event.kind = bucket_writer_event_kind::write_refused;
    if (read(bucket).revision == expected) {
        store_[bucket] = {value, ++store_revision_};
        event.kind = bucket_writer_event_kind::write_accepted;
        event.revision = core::revision(store_revision_);
    }
    return event;
}

core::instant fleet_model::now(int at) const
{
    const host& here = hosts_.at(at);
    const bool stopped = here.paused && here.clock_stops;
    return (stopped ? here.paused_at : now_) - here.lost_time;
}

wall_time fleet_model::wall(int at) const
{
    // One clock is ahead by the maximum error allowed; a clock that was stopped lags behind.
    const auto skew = at == 0 ? 60'000ms : 0ms;
    constexpr wall_time origin{std::chrono::hours(24 * 365 * 50)};
    return origin + skew +
           std::chrono::duration_cast<std::chrono::milliseconds>(now(at).time_since_epoch());
}

owner fleet_model::owner_at(int at) const
{
    const auto name = std::to_string(at) + "." + std::to_string(hosts_.at(at).incarnation);
    return {core::incarnation_id(name), {"127.0.0.1", static_cast<std::uint16_t>(at + 1)}};
}

int fleet_model::host_of(std::size_t number) const
{
    return static_cast<int>(number % hosts_.size());
}

fleet_model::message fleet_model::take(std::size_t number)
{
    const auto place = messages_.begin() + static_cast<std::ptrdiff_t>(number % messages_.size());
    message taken = *place;
    messages_.erase(place);
    return taken;
}

void fleet_model::deliver(const step& now)
{
    if (!messages_.empty()) {
        take(now.a).deliver();
    }
}

void fleet_model::drop(const step& now)
{
    if (!messages_.empty()) {
        take(now.a).drop();
    }
}

void fleet_model::linger(const step& now)
{
    if (!messages_.empty()) {
        const message kept = take(now.a);
        kept.drop();
        messages_.push_back({kept.deliver, [] {}});
    }
}

void fleet_model::submit(const step& now)
{
    const auto key = now.b % keys_.size();
    send(host_of(now.a), static_cast<int>(key), now.b % 7 == 6 ? 1 : 0);
}

void fleet_model::send(int at, int key, int variant)
{
    const auto first = first_sent_.try_emplace(key, now_).first->second;
    if (!keys_.at(key) && now_ - first > longest_retry) {
        return;
    }
    const request wanted{key, variant, keys_.at(key)};
    const std::size_t caller = callers.size();
    callers.push_back({wanted, at, hosts_.at(at).incarnation, {}});
    at_host(at, hosts_.at(at).incarnation, [=, this] {
        hosts_.at(at).running->submit(wanted, std::nullopt,
                                      [=, this](const action_outcome& received_outcome) {
                                          callers.at(caller).received = received_outcome;
                                      });
    });
}

void fleet_model::issue(const step& now)
{
    host& here = hosts_.at(host_of(now.a));
    if (!here.paused) {
        if (auto key_ticket = here.running->issue()) {
            keys_.emplace_back(std::move(key_ticket));
        }
    }
}

void fleet_model::advance(const step& now)
{
    advance_time(time_steps.at(now.b % time_steps.size()));
}

void fleet_model::advance_time(core::duration time)
{
    // In a long period, only the last two ticks matter.
    if (time > 2 * tick_interval) {
        advance_time(time - tick_interval);
        time = tick_interval;
    }
    now_ += time;
    for (int at = 0; at < host_count; ++at) {
        at_host(at, hosts_.at(at).incarnation, [=, this] { hosts_.at(at).running->tick(); });
    }
}

void fleet_model::crash(const step& now)
{
    wake(now);
    start(host_of(now.a));
}

void fleet_model::pause(const step& now)
{
    host& here = hosts_.at(host_of(now.a));
    if (!here.paused) {
        here.paused = true;
        here.clock_stops = host_of(now.a) == host_with_stopping_clock;
        here.paused_at = now_;
    }
}

void fleet_model::wake(const step& now)
{
    host& here = hosts_.at(host_of(now.a));
    if (!std::exchange(here.paused, false)) {
        return;
    }
    if (here.clock_stops) {
        here.lost_time += now_ - here.paused_at;
    }
    for (const auto& action : std::exchange(here.inbox, {})) {
        action();
    }
}

void fleet_model::outage(const step& /*now*/)
{
    outage_ = !outage_;
}

void fleet_model::cut(const step& now)
{
    host& here = hosts_.at(host_of(now.a));
    bool& link = now.b % 2 == 0 ? here.cut_from_store : here.cut_from_peers;
    link = !link;
}

void fleet_model::refuse(const step& /*now*/)
{
    ++refusals_;
}

void fleet_model::drain(const step& now)
{
    hosts_.at(host_of(now.a)).draining = true;
}

} // namespace ej::actions::model
