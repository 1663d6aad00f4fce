#include <limits/aimd_limit.h>
#include <limits/equal_share.h>
#include <limits/fixed_limit.h>
#include <limits/shares.h>
#include <limits/spare_share.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace ej::limits {

namespace {

using counts = std::vector<std::uint32_t>;

std::vector<member_size> fleet(const std::vector<int>& sizes)
{
    std::vector<member_size> members;
    members.reserve(sizes.size());
    for (std::size_t at = 0; at < sizes.size(); ++at) {
        members.push_back({core::vm_id("vm" + std::to_string(at)), 1.0 + sizes[at]});
    }
    return members;
}

std::uint32_t sum(const counts& values)
{
    return std::accumulate(values.begin(), values.end(), 0U);
}

// Simulates several daemons that share one endpoint. In each step all of them receive the same load
// report and send requests up to their demand or limit.
struct shared_endpoint_model {
    counts limits;
    counts in_flight;
    std::uint64_t reports = 0;

    void step(const limiter& strategy, const std::vector<member_size>& members, std::uint32_t slots,
              const counts& demand)
    {
        const core::endpoint_id name("engine");
        const std::uint32_t all = sum(in_flight);
        const std::uint32_t running = std::min(all, slots);
        ++reports;
        for (std::size_t at = 0; at < members.size(); ++at) {
            const endpoint_load load{name, slots, running, all - running, in_flight[at], reports};
            limits[at] = strategy.next(limits[at], load, share_of(members, members[at].vm));
        }
        for (std::size_t at = 0; at < members.size(); ++at) {
            in_flight[at] = std::min(demand[at], limits[at]);
        }
    }
};

} // namespace

TEST_CASE("the whole slots of all daemons add up to the endpoint's slots")
{
    rc::prop("for any VM sizes and number of slots", [] {
        const auto sizes =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9)));
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 300);
        const core::endpoint_id name(std::to_string(*rc::gen::inRange(0, 1'000)));
        const auto members = fleet(sizes);
        std::uint32_t total = 0;
        for (const auto& member : members) {
            total += whole_slots(slots, share_of(members, member.vm), name);
        }
        RC_ASSERT(total == slots);
    });
}

TEST_CASE("daemons that borrow idle slots converge to within the endpoint's slots")
{
    rc::prop("for any changes of demand: converged after 40 reports, guaranteed share kept", [] {
        const auto sizes =
            *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 9), rc::gen::inRange(0, 4));
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 64);
        const auto members = fleet(sizes);
        shared_endpoint_model fleet_state{counts(sizes.size(), 0), counts(sizes.size(), 0), 0};
        const spare_share strategy;
        for (int change = 0; change < 3; ++change) {
            const auto demand = *rc::gen::container<counts>(
                sizes.size(), rc::gen::inRange<std::uint32_t>(0, 2 * slots));
            for (int report = 0; report < 40; ++report) {
                fleet_state.step(strategy, members, slots, demand);
                RC_ASSERT(sum(fleet_state.in_flight) <= 2 * slots);
            }
            RC_ASSERT(sum(fleet_state.in_flight) <= slots);
            for (std::size_t at = 0; at < members.size(); ++at) {
                const auto part = whole_slots(slots, share_of(members, members[at].vm),
                                              core::endpoint_id("engine"));
                RC_ASSERT(fleet_state.in_flight[at] >= std::min(part, demand[at]));
            }
            RC_ASSERT(sum(fleet_state.in_flight) == std::min(slots, sum(demand)));
        }
    });
}

TEST_CASE("fixed limits of several daemons together exceed the endpoint's slots")
{
    const auto members = fleet({0, 0, 0, 0});
    shared_endpoint_model fleet_state{counts(4, 0), counts(4, 0), 0};
    fleet_state.step(fixed_limit{}, members, 8, counts(4, 100));
    CHECK(sum(fleet_state.in_flight) == 32);
}

TEST_CASE("the only busy daemon uses slots that equal shares would leave idle")
{
    const auto members = fleet({0, 0, 0, 0});
    const counts demand{100, 0, 0, 0};
    shared_endpoint_model equal{counts(4, 0), counts(4, 0), 0};
    shared_endpoint_model lent{counts(4, 0), counts(4, 0), 0};
    for (int report = 0; report < 20; ++report) {
        equal.step(equal_share{}, members, 8, demand);
        lent.step(spare_share{}, members, 8, demand);
    }
    CHECK(sum(equal.in_flight) == 2);
    CHECK(sum(lent.in_flight) == 8);
}

} // namespace ej::limits
