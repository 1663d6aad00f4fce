#include "naive_class_queue.h"

#include <admission/bounded_length.h>
#include <admission/class_queues.h>
#include <admission/unbounded.h>

#include <fairness/max_min_share.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <string>
#include <thread>

namespace ej::admission {

namespace {

using namespace std::chrono_literals;

const core::service_id service("model");
const capacity busy{100, 10, 10};

core::work_class make_class(const std::string& name, std::chrono::milliseconds finish,
                            std::uint32_t max_waiting = 1'000)
{
    core::work_class made;
    made.name = core::class_id(name);
    made.service = service;
    made.target.finish = finish;
    made.target.max_waiting = max_waiting;
    return made;
}

fairness::queued_request make_queued_request(int number, core::instant now, core::duration within,
                                             double work = 10, const std::string& workspace = "w")
{
    return {core::request_id(std::to_string(number)), core::workspace_id(workspace), work, now,
            now + within};
}

class_queue make_queue(const core::work_class& work_class)
{
    return {work_class, std::make_shared<predicted_finish>(),
            std::make_shared<fairness::max_min_share>()};
}

// Runs a queue at twice its capacity for 60 s; returns how many requests were granted too late to
// finish in time.
template <class Policy>
int granted_too_late()
{
    class_queue queue(make_class("c", 5s, 100'000), std::make_shared<Policy>(),
                      std::make_shared<fairness::max_min_share>());
    int late = 0;
    int number = 0;
    for (core::instant now{}; now < core::instant{60s}; now += 100ms) {
        queue.submit(make_queued_request(++number, now, 5s), busy, now);
        queue.submit(make_queued_request(++number, now, 5s), busy, now);
        const auto granted = queue.next(busy, now).granted;
        late += granted && now + 1s > granted->finish_by ? 1 : 0;
    }
    return late;
}

} // namespace

TEST_CASE("a queue admits, drops and grants the same requests as the reference list")
{
    rc::prop("any order of submit, next and cancel within a second", [] {
        const auto bound = *rc::gen::inRange<std::uint32_t>(1, 12);
        auto queue = make_queue(make_class("c", 4s, bound));
        naive_class_queue naive{{}, bound, {}};
        core::instant now{100s};
        for (int event = 0; event < 60; ++event) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 15));
            const int kind = *rc::gen::inRange(0, 5);
            if (kind < 3) {
                const auto asked = make_queued_request(
                    event, now, std::chrono::milliseconds(*rc::gen::inRange(500, 4'000)),
                    *rc::gen::inRange(1, 60));
                const bool taken = naive.admits(asked, busy, now);
                RC_ASSERT(queue.submit(asked, busy, now).refused.has_value() == !taken);
                if (taken) {
                    naive.waiting.push_back(asked);
                }
            }
            else if (kind == 3) {
                RC_ASSERT(queue.next(busy, now).granted == naive.next(busy, now));
            }
            else {
                const core::request_id any(std::to_string(*rc::gen::inRange(0, 60)));
                const auto erased = std::erase_if(
                    naive.waiting, [&](const auto& one) { return one.request == any; });
                RC_ASSERT(queue.cancel(any) == (erased == 1));
            }
            RC_ASSERT(queue.report(now).waiting == naive.waiting.size());
            RC_ASSERT(naive.waiting.size() <= bound);
        }
    });
}

TEST_CASE("predicted_finish grants no request that can no longer meet its target, while other "
          "policies do")
{
    CHECK(granted_too_late<predicted_finish>() == 0);
    CHECK(granted_too_late<bounded_length>() > 400);
    CHECK(granted_too_late<unbounded>() > 400);
}

TEST_CASE("every request is counted once: granted, refused, dropped, evicted or still waiting")
{
    rc::prop("several workspaces, full queue", [] {
        auto queue = make_queue(make_class("c", 2s, 6));
        core::instant now{100s};
        std::size_t ended = 0;
        std::size_t asked = 0;
        for (int event = 0; event < 80; ++event) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            if (*rc::gen::inRange(0, 4) > 0) {
                const std::string workspace(1, *rc::gen::inRange('a', 'd'));
                const auto result =
                    queue.submit(make_queued_request(event, now, 2s, 5, workspace), busy, now);
                ++asked;
                ended += (result.refused ? 1 : 0) + (result.evicted ? 1 : 0);
            }
            else {
                const auto result = queue.next(busy, now);
                ended += result.dropped.size() + (result.granted ? 1 : 0);
            }
            RC_ASSERT(ended + queue.report(now).waiting == asked);
            RC_ASSERT(queue.report(now).waiting <= 6U);
        }
    });
}

TEST_CASE("a full queue evicts a request of the largest workspace for one within its fair share")
{
    auto queue = make_queue(make_class("c", 1h, 10));
    const core::instant now{100s};
    for (int number = 0; number < 10; ++number) {
        CHECK(!queue.submit(make_queued_request(number, now, 1h, 1, "large"), busy, now).refused);
    }
    const auto small = queue.submit(make_queued_request(20, now, 1h, 1, "small"), busy, now);
    CHECK(!small.refused);
    CHECK(small.evicted->queued_request.workspace.text() == "large");
    CHECK(small.evicted->why.reason == core::refusal_reason::over_share);
    const auto more = queue.submit(make_queued_request(21, now, 1h, 1, "large"), busy, now);
    CHECK(more.refused->reason == core::refusal_reason::over_share);
}

TEST_CASE("a request that cannot start in time is refused, and dropped if it has waited too long")
{
    auto queue = make_queue(make_class("c", 60s));
    core::instant now{100s};
    auto asked = make_queued_request(1, now, 60s, 100);
    asked.start_by = now + 1s;
    CHECK(!queue.submit(asked, busy, now).refused);
    asked.request = core::request_id("2");
    CHECK(queue.submit(asked, busy, now).refused->reason ==
          core::refusal_reason::target_unreachable);
    CHECK(queue.next(busy, now + 2s).dropped.size() == 1);
}

TEST_CASE("a class is reported as missing its target before its queue is full")
{
    auto queue = make_queue(make_class("c", 30s));
    core::instant now{100s};
    queue.submit(make_queued_request(1, now, 30s), busy, now);
    CHECK(queue.report(now).met);
    now += 2s;
    CHECK_FALSE(queue.report(now).met);
    CHECK(queue.report(now).oldest_age == 2s);
}

TEST_CASE(
    "a missing endpoint, an unknown class and a removed class refuse requests with a retry time")
{
    class_queues queues(std::make_shared<predicted_finish>(),
                        std::make_shared<fairness::max_min_share>());
    const core::instant now{100s};
    const core::class_id name("c");
    const auto unknown = queues.submit(name, make_queued_request(1, now, 5s), busy, now);
    CHECK(unknown.refused->reason == core::refusal_reason::unknown_class);
    queues.set_classes({make_class("c", 5s)});
    const auto none = queues.submit(name, make_queued_request(1, now, 5s), {}, now);
    CHECK(none.refused->reason == core::refusal_reason::no_endpoint);
    CHECK(none.refused->retry_after > 0s);
    CHECK(!queues.submit(name, make_queued_request(1, now, 5s), busy, now).refused);
    CHECK(queues.set_classes({}).size() == 1);
}

TEST_CASE("the class whose next request must start soonest runs first, and urgent_only skips "
          "non-urgent classes")
{
    class_queues queues(std::make_shared<predicted_finish>(),
                        std::make_shared<fairness::max_min_share>());
    queues.set_classes({make_class("long", 60s), make_class("short", 2s)});
    const core::instant now{100s};
    CHECK(!queues.submit(core::class_id("long"), make_queued_request(1, now, 60s), busy, now)
               .refused);
    CHECK(!queues.submit(core::class_id("short"), make_queued_request(2, now, 2s), busy, now)
               .refused);
    CHECK(!queues.submit(core::class_id("short"), make_queued_request(3, now, 2s), busy, now)
               .refused);
    CHECK(queues.next(service, room::any, busy, now).work_class.text() == "short");
    CHECK(queues.next(service, room::urgent_only, busy, now).work_class.text() == "short");
    CHECK_FALSE(queues.next(service, room::urgent_only, busy, now).granted);
    CHECK(queues.next(service, room::any, busy, now).work_class.text() == "long");
}

TEST_CASE("concurrent submits and grants lose no request and grant none twice")
{
    class_queues queues(std::make_shared<unbounded>(), std::make_shared<fairness::max_min_share>());
    queues.set_classes({make_class("a", 60s), make_class("b", 2s)});
    constexpr int threads = 4;
    constexpr int rounds = 500;
    std::array<int, threads> taken{};
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&, worker] {
            const core::instant now{100s};
            for (int round = 0; round < rounds; ++round) {
                const core::class_id name(round % 2 == 0 ? "a" : "b");
                const auto asked = make_queued_request(worker * rounds + round, now, 60s);
                taken.at(worker) -= queues.submit(name, asked, busy, now).refused ? 1 : 0;
                taken.at(worker) += queues.next(service, room::any, busy, now).granted ? 1 : 0;
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    int total = 0;
    for (const int count : taken) {
        total += count;
    }
    while (queues.next(service, room::any, busy, core::instant{100s}).granted) {
        ++total;
    }
    CHECK(total == threads * rounds);
}

} // namespace ej::admission
