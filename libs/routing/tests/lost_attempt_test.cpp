#include <routing/endpoint_pools.h>
#include <routing/estimate.h>
#include <routing/least_loaded.h>
#include <routing/prefix_affinity.h>
#include <routing/round_robin.h>
#include <routing/two_choices.h>

#include <limits/spare_share.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace ej::routing {

namespace {

using namespace std::chrono_literals;

const core::service_id service("berth");
const core::failure_domain_id here("here");
const core::failure_domain_id there("there");
const reachable_domains linked{here, {there}};
constexpr core::instant start{10s};

core::endpoint application(const std::string& name, const core::failure_domain_id& domain,
                           std::uint32_t slots = 4)
{
    core::endpoint made;
    made.name = core::endpoint_id(name);
    made.domain = domain;
    made.service = service;
    made.slots = slots;
    return made;
}

/// Where the second attempt of a request goes whose first one fails at once.
std::string second_attempt(endpoint_pools& pools)
{
    const auto first = pools.acquire(service, linked, {}, 1, start);
    REQUIRE(first);
    pools.release(*first, {outcome_kind::failed, 1, 1ms}, start);
    request_features again;
    again.lost_at = {first->endpoint};
    const auto second = pools.acquire(service, linked, again, 2, start);
    REQUIRE(second);
    return second->endpoint.text();
}

} // namespace

TEST_CASE("a request whose attempt was lost in its failure domain is sent to another one")
{
    endpoint_pools pools(std::make_unique<two_choices>(), std::make_unique<limits::spare_share>());
    pools.add(application("a1", here), core::instant{});
    pools.add(application("a2", there), core::instant{});
    CHECK(second_attempt(pools) == "a2");
}

TEST_CASE("a request whose attempt was lost is sent to the same endpoint if there is no other")
{
    endpoint_pools pools(std::make_unique<two_choices>(), std::make_unique<limits::spare_share>());
    pools.add(application("a1", here), core::instant{});
    CHECK(second_attempt(pools) == "a1");
}

TEST_CASE("no router chooses an endpoint that lost an attempt of the request")
{
    rc::prop("for any lost attempts, loads and each router", [] {
        const round_robin turns;
        const least_loaded least;
        const two_choices two;
        const prefix_affinity affinity(std::make_unique<two_choices>());
        const std::array<const router*, 4> routers{&turns, &least, &two, &affinity};
        const auto& strategy = *routers.at(*rc::gen::inRange<std::size_t>(0, 4));
        const limits::spare_share limiter;
        pool applications;
        std::vector<core::endpoint_id> names;
        const int count = *rc::gen::inRange(1, 6);
        for (int number = 0; number < count; ++number) {
            const auto made = application("a" + std::to_string(number), here);
            applications.add(made, limiter, {}, core::instant{});
            names.push_back(made.name);
        }
        const auto before = *rc::gen::inRange(0, 4 * count);
        for (int sent = 0; sent < before; ++sent) {
            applications.acquire({}, strategy, sent, start);
        }
        request_features again;
        again.prefix = *rc::gen::inRange<std::uint64_t>(0, 5);
        again.urgent = *rc::gen::arbitrary<bool>();
        const auto is_lost =
            *rc::gen::container<std::vector<bool>>(names.size(), rc::gen::arbitrary<bool>());
        std::vector<core::endpoint_id> others;
        for (std::size_t index = 0; index < names.size(); ++index) {
            (is_lost[index] ? again.lost_at : others).push_back(names[index]);
        }
        const auto open_before = applications.summary(start);
        const auto any_room = std::ranges::any_of(others, [&](const auto& name) {
            return has_room(*applications.view(name), again.urgent);
        });
        const auto chosen = applications.acquire(again, strategy, 99, start);
        RC_ASSERT(chosen.has_value() == any_room);
        RC_ASSERT(!chosen || std::ranges::count(others, *chosen) == 1);
        if (!chosen) { // What was passed over is open to other requests as before.
            RC_ASSERT(applications.summary(start) == open_before);
        }
    });
}

} // namespace ej::routing
