#include <actions/action_records.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace ej::actions {

namespace {

using namespace std::chrono_literals;

const core::instant start(1h);

action_event event_of(event_kind kind, std::uint64_t attempt = 1)
{
    action_event event;
    event.kind = kind;
    event.at = start;
    event.attempt = core::attempt_number(attempt);
    return event;
}

action_event arrival(std::uint64_t waiter)
{
    action_event event = event_of(event_kind::submitted);
    event.arrival.waiter = waiter_id(waiter);
    event.arrival.deadline = start + 1s;
    event.arrival.keep_until = start + 1min;
    return event;
}

} // namespace

TEST_CASE("for any order of events, an action is sent once, unless the application reports that it "
          "did not run")
{
    rc::prop("at most one send that may have run; at most one answer per submission", [] {
        const auto kinds = *rc::gen::container<std::vector<int>>(
            rc::gen::inRange(0, static_cast<int>(event_kind_count)));
        action_records records({}, 0);
        std::uint64_t waiters = 0;
        std::multiset<waiter_id> answered;
        int open_sends = 0;
        for (const int kind : kinds) {
            action_event event =
                event_of(static_cast<event_kind>(kind), *rc::gen::inRange<std::uint64_t>(1, 4));
            if (event.kind == event_kind::submitted) {
                event = arrival(++waiters);
                event.arrival.origin = static_cast<action_origin>(*rc::gen::inRange(0, 3));
            }
            event.at += *rc::gen::inRange(0, 2) * 2s;
            for (const action_effect& effect : records.apply({}, event)) {
                const bool refused_send = event.kind == event_kind::answered_not_run;
                open_sends -= refused_send && open_sends > 0 ? 1 : 0;
                open_sends += effect.kind == effect_kind::send ? 1 : 0;
                RC_ASSERT(effect.kind != effect_kind::send || event.at < start + 1s);
                const bool refusal = effect.outcome.kind == outcome_kind::not_run;
                RC_ASSERT(effect.kind != effect_kind::answer || !refusal || open_sends == 0);
                if (effect.kind == effect_kind::answer) {
                    answered.insert(effect.waiter);
                }
            }
            RC_ASSERT(open_sends <= 1);
        }
        RC_ASSERT(std::ranges::adjacent_find(answered) == answered.end());
    });
}

TEST_CASE("concurrent threads that submit one action and report its connection send it once")
{
    constexpr int threads = 4;
    constexpr std::uint64_t actions = 500;
    action_records records({}, 0);
    std::atomic<int> connects{0};
    std::atomic<int> sends{0};
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (std::uint64_t worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&, worker] {
            const auto count = [](const auto& effects, effect_kind kind) {
                return static_cast<int>(std::ranges::count(effects, kind, &action_effect::kind));
            };
            for (std::uint64_t action = 0; action < actions; ++action) {
                const auto submitted = arrival(action * threads + worker);
                connects += count(records.apply({0, action}, submitted), effect_kind::connect);
                const auto connected = event_of(event_kind::connected);
                sends += count(records.apply({0, action}, connected), effect_kind::send);
            }
        });
    }
    std::ranges::for_each(workers, &std::thread::join);
    CHECK(connects == static_cast<int>(actions));
    CHECK(sends == static_cast<int>(actions));
    CHECK(records.open_count() == actions);
}

TEST_CASE("a result is evicted by newer ones, but the record still states that the action ran")
{
    constexpr std::size_t bytes_per_shard = 10;
    action_records records({}, 16 * bytes_per_shard);
    for (std::uint64_t action = 0; action < 2; ++action) {
        const action_id name{0, action * 16};
        std::ignore = records.apply(name, arrival(1));
        std::ignore = records.apply(name, event_of(event_kind::connected));
        action_event answered = event_of(event_kind::answered);
        answered.result = {200, "text/plain", "12345678"};
        std::ignore = records.apply(name, answered);
    }
    CHECK(records.apply({0, 0}, arrival(2)).front().outcome == ran({}));
    CHECK(records.apply({0, 16}, arrival(2)).front().outcome.result->body == "12345678");
    CHECK(records.expire(start + 1min) == 2);
    CHECK(records.size() == 0);
}

} // namespace ej::actions
