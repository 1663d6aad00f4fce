#include <utility>

#include "asio.h"

#include "admission_gate.h"

#include <limits/spare_share.h>
#include <routing/two_choices.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <vector>

namespace ej::runtime {

namespace {

using namespace std::chrono_literals;

const core::service_id service("model");

// A gate with one endpoint that has one slot; runs on the test's thread.
class gate_fixture {
public:
    gate_fixture()
    {
        core::work_class made;
        made.name = core::class_id("summary");
        made.service = service;
        made.target.first_token = 1h;
        made.target.finish = 1h;
        classes_.push_back(made);
        gate.set_classes(classes_);
        core::endpoint engine;
        engine.name = core::endpoint_id("e1");
        engine.domain = core::failure_domain_id("here");
        engine.service = service;
        pools.add(engine, std::chrono::steady_clock::now());
        gate.endpoints_listed();
    }

    void start(const std::string& request, core::duration within)
    {
        const auto now = std::chrono::steady_clock::now();
        const fairness::queued_request asked{core::request_id(request), core::workspace_id("w"), 1,
                                             now, now + within};
        asio::co_spawn(
            asio::make_strand(context),
            [this, asked]() -> asio::awaitable<void> { co_await enter(asked); }, asio::detached);
    }

    /// Like `start`, for a request whose attempt was lost at `lost_at`.
    void start_again(const std::string& request, const core::endpoint_id& lost_at)
    {
        const auto now = std::chrono::steady_clock::now();
        const fairness::queued_request asked{core::request_id(request), core::workspace_id("w"), 1,
                                             now, now + 1h};
        asio::co_spawn(
            asio::make_strand(context),
            [this, asked, lost_at]() -> asio::awaitable<void> {
                std::vector<core::endpoint_id> lost{lost_at};
                auto entry = co_await gate.enter_again(classes_.front(), asked, std::move(lost));
                entries.emplace_back(asked.request.text(), std::move(entry));
            },
            asio::detached);
    }

    [[nodiscard]] const core::work_class& work_class() const { return classes_.front(); }

    void run_ready()
    {
        context.restart();
        context.poll();
    }

    asio::io_context context;
    routing::endpoint_pools pools{std::make_unique<routing::two_choices>(),
                                  std::make_unique<limits::spare_share>()};
    admission_gate gate{pools,
                        [] {
                            return routing::reachable_domains{core::failure_domain_id("here"),
                                                              {core::failure_domain_id("there")}};
                        },
                        [] { return std::uint64_t{7}; }};
    std::vector<std::pair<std::string, admission_result>> entries;

private:
    asio::awaitable<void> enter(fairness::queued_request asked)
    {
        auto entry = co_await gate.enter(classes_.front(), asked);
        entries.emplace_back(asked.request.text(), std::move(entry));
    }

    std::vector<core::work_class> classes_;
};

} // namespace

TEST_CASE("a waiting request is placed when the endpoint's only slot is released")
{
    gate_fixture fixture;
    fixture.start("a", 1h);
    fixture.start("b", 1h);
    fixture.run_ready();
    REQUIRE(fixture.entries.size() == 1);
    REQUIRE(fixture.entries.front().second.placed);
    CHECK(fixture.gate.reports().front().waiting == 1);
    fixture.gate.release_endpoint(*fixture.entries.front().second.placed, {});
    fixture.run_ready();
    REQUIRE(fixture.entries.size() == 2);
    CHECK(fixture.entries.back().second.placed);
}

TEST_CASE("a wait is refused when its deadline passes or it is cancelled")
{
    gate_fixture fixture;
    fixture.start("a", 1h);
    fixture.start("b", 1h);
    fixture.run_ready();
    fixture.gate.cancel(core::class_id("summary"), core::request_id("b"));
    fixture.run_ready();
    REQUIRE(fixture.entries.size() == 2);
    CHECK(fixture.entries.back().second.refused.reason == core::refusal_reason::expired);
    fixture.start("c", 20ms);
    fixture.context.restart();
    fixture.context.run();
    REQUIRE(fixture.entries.size() == 3);
    CHECK(fixture.entries.back().second.refused.reason == core::refusal_reason::waited_too_long);
    CHECK(fixture.gate.reports().front().waiting == 0);
}

TEST_CASE("a request that lost its endpoint is placed at another one that has room")
{
    gate_fixture fixture;
    core::endpoint other;
    other.name = core::endpoint_id("e2");
    other.domain = core::failure_domain_id("there");
    other.service = service;
    fixture.pools.add(other, std::chrono::steady_clock::now());
    fixture.start("a", 1h);
    fixture.run_ready();
    REQUIRE(fixture.entries.size() == 1);
    const auto first = fixture.entries.front().second.placed;
    REQUIRE(first);
    CHECK(first->endpoint == core::endpoint_id("e1"));
    fixture.gate.release_endpoint(*first, {routing::outcome_kind::failed, 1, 1ms});
    fixture.start_again("a", first->endpoint);
    fixture.run_ready();
    REQUIRE(fixture.entries.size() == 2);
    REQUIRE(fixture.entries.back().second.placed);
    CHECK(fixture.entries.back().second.placed->endpoint == core::endpoint_id("e2"));
}

TEST_CASE("no result is lost when another thread sets it while the wait begins")
{
    constexpr std::size_t threads = 4;
    constexpr int requests = 20'000;
    constexpr std::size_t at_once = 64;
    gate_fixture fixture;
    asio::thread_pool pool(threads);
    std::atomic<int> next{0};
    std::atomic<int> entered{0};
    // Runs on the pool without a strand, so that results and waits run on any of its threads.
    const auto ask = [&]() -> asio::awaitable<void> {
        for (int number = next++; number < requests; number = next++) {
            const auto now = std::chrono::steady_clock::now();
            const fairness::queued_request asked{core::request_id(std::to_string(number)),
                                                 core::workspace_id("w"), 1, now, now + 1h};
            auto entry = co_await fixture.gate.enter(fixture.work_class(), asked);
            if (entry.placed) {
                ++entered;
                fixture.gate.release_endpoint(*entry.placed,
                                              {routing::outcome_kind::finished, 1, 1us});
            }
        }
    };
    std::vector<std::future<void>> all;
    all.reserve(at_once);
    for (std::size_t one = 0; one < at_once; ++one) {
        all.push_back(asio::co_spawn(pool, ask, asio::use_future));
    }
    for (auto& one : all) {
        REQUIRE(one.wait_for(20s) == std::future_status::ready); // Fails instead of hanging.
    }
    CHECK(entered == requests);
}

} // namespace ej::runtime
