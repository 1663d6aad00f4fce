#include "naive_pool.h"

#include <routing/endpoint_pools.h>
#include <routing/least_loaded.h>
#include <routing/prefix_affinity.h>
#include <routing/round_robin.h>
#include <routing/two_choices.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <string>

namespace ej::routing {

namespace {

using namespace std::chrono_literals;

const core::service_id service("model");
const core::failure_domain_id here("here");
const core::failure_domain_id there("there");

core::endpoint engine(int number, std::uint32_t slots, const core::failure_domain_id& domain = here)
{
    core::endpoint shown;
    shown.name = core::endpoint_id("e" + std::to_string(number));
    shown.domain = domain;
    shown.service = service;
    shown.slots = slots;
    return shown;
}

// Sends requests to a pool of one engine that fails at once and one that works; returns the number
// of failures.
int failures_of(const router& strategy, int requests)
{
    pool engines;
    const limits::spare_share limiter;
    core::instant now{10s};
    engines.add(engine(0, 4), limiter, {}, core::instant{});
    engines.add(engine(1, 4), limiter, {}, core::instant{});
    int failed = 0;
    for (int sent = 0; sent < requests; ++sent, now += 10ms) {
        const auto chosen = engines.acquire({.work = 10}, strategy, sent, now);
        const bool bad = *chosen == core::endpoint_id("e0");
        failed += bad ? 1 : 0;
        const outcome end = bad ? outcome{outcome_kind::failed, 0, 1ms}
                                : outcome{outcome_kind::finished, 10, 500ms};
        engines.release(*chosen, end, false, now);
    }
    return failed;
}

} // namespace

TEST_CASE("a pool chooses only endpoints that the reference implementation finds to have capacity")
{
    rc::prop("for any order of events and each router", [] {
        const round_robin turns;
        const least_loaded least;
        const two_choices two;
        const prefix_affinity affinity(std::make_unique<two_choices>());
        const std::array<const router*, 4> routers{&turns, &least, &two, &affinity};
        pool fast;
        naive_pool naive;
        core::instant now{10s};
        std::vector<std::pair<core::endpoint_id, bool>> in_flight;
        for (int event = 0; event < 60; ++event) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            const auto shown = engine(*rc::gen::inRange(0, 5), 4);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                fast.add(shown, naive.limiter, {0, 0.5}, now);
                naive.views[shown.name] = new_view(shown, naive.limiter, {0, 0.5}, now);
                break;
            case 1:
                fast.remove(shown.name);
                naive.views.erase(shown.name);
                break;
            case 2: {
                const load_report report{shown.name, 4, *rc::gen::inRange<std::uint32_t>(0, 6),
                                         *rc::gen::inRange<std::uint32_t>(0, 3), 10};
                fast.report(report, naive.limiter, {0, 0.5});
                if (naive.views.contains(shown.name)) {
                    auto& view = naive.views[shown.name];
                    view = with_report(view, report, naive.limiter, {0, 0.5});
                }
                break;
            }
            case 3: {
                if (in_flight.empty()) {
                    break;
                }
                const auto [name, urgent] = in_flight.back();
                in_flight.pop_back();
                const outcome end{*rc::gen::element(outcome_kind::finished, outcome_kind::failed),
                                  10, 1s};
                fast.release(name, end, urgent, now);
                if (naive.views.contains(name)) {
                    naive.views[name] = with_outcome(naive.views[name], end, urgent, now);
                }
                break;
            }
            default: {
                const bool urgent = *rc::gen::arbitrary<bool>();
                const auto* const strategy = routers.at(*rc::gen::inRange<std::size_t>(0, 4));
                naive.unblock(now);
                const request_features wanted{10, *rc::gen::inRange<std::uint64_t>(0, 3), urgent,
                                              now + 1s};
                const auto chosen = fast.acquire(wanted, *strategy, event, now);
                RC_ASSERT(naive.allows(chosen, urgent));
                if (chosen) {
                    naive.views[*chosen] = with_sent(naive.views[*chosen], urgent);
                    in_flight.emplace_back(*chosen, urgent);
                }
            }
            }
            for (const auto& [name, view] : naive.views) {
                RC_ASSERT(fast.view(name)->in_flight == view.in_flight);
            }
        }
    });
}

TEST_CASE("an endpoint that fails quickly gets at most 12 of 400 requests")
{
    CHECK(failures_of(two_choices{}, 400) <= 12);
}

TEST_CASE("an ejected endpoint has capacity again after a second, even if no request is routed")
{
    pool engines;
    const limits::spare_share limiter;
    engines.add(engine(0, 2), limiter, {}, core::instant{});
    core::instant now{10s};
    for (int failure = 0; failure < 2; ++failure) {
        const auto chosen = engines.acquire({}, two_choices{}, 1, now);
        engines.release(*chosen, {outcome_kind::failed, 0, 1ms}, false, now);
    }
    CHECK(engines.summary(now).open == 0);
    CHECK(engines.summary(now).next_unblock == now + 1s);
    CHECK(engines.summary(now + 1s).open == 1);
}

TEST_CASE("requests go to other failure domains only if the local pool has no capacity")
{
    endpoint_pools pools(std::make_unique<two_choices>(), std::make_unique<limits::spare_share>());
    pools.add(engine(0, 2), core::instant{});
    pools.add(engine(1, 2, there), core::instant{});
    const reachable_domains linked{here, {there}};
    const reachable_domains cut{here, {}};
    const auto domain = [&](const reachable_domains& reachable_domains) {
        const auto where = pools.acquire(service, reachable_domains, {}, 1, core::instant{10s});
        return where ? std::optional(where->pool.domain) : std::nullopt;
    };
    CHECK(domain(linked) == here);
    CHECK(domain(linked) == here);
    CHECK(domain(cut) == std::nullopt);
    CHECK(domain(linked) == there);
}

TEST_CASE("equal prefixes go to one endpoint until it would finish much later than others")
{
    pool engines;
    const limits::spare_share limiter;
    for (int number = 0; number < 8; ++number) {
        engines.add(engine(number, 2), limiter, {}, core::instant{});
    }
    const prefix_affinity strategy(std::make_unique<two_choices>());
    const request_features same{.work = 10, .prefix = 77};
    const auto first = engines.acquire(same, strategy, 1, core::instant{10s});
    const auto second = engines.acquire(same, strategy, 2, core::instant{10s});
    const auto third = engines.acquire(same, strategy, 3, core::instant{10s});
    CHECK(first == second);
    CHECK(third != first);
}

} // namespace ej::routing
