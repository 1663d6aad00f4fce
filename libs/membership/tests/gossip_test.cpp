#include "fleet.h"

#include <membership/full_mesh.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace ej::membership {

namespace {

constexpr std::size_t endpoint_count = 4;

/// The actual state of one endpoint, which the daemons have to converge to.
struct actual_state {
    int incarnation = 0;
    bool leaving = false;
};

core::endpoint_id endpoint_name(std::size_t n)
{
    return core::endpoint_id("e" + std::to_string(n));
}

core::endpoint make_endpoint(std::size_t n, const actual_state& now)
{
    core::endpoint made;
    made.name = endpoint_name(n);
    made.incarnation = core::incarnation_id(std::to_string(now.incarnation));
    made.domain = core::failure_domain_id("d0");
    made.where = {"127.0.0.1", static_cast<std::uint16_t>(100 + n)};
    return made;
}

/// Reports the endpoint's state to a daemon. False when the daemon does not know the endpoint and
/// so would not poll it.
bool report(fleet& all, std::size_t daemon, std::size_t endpoint, const actual_state& now)
{
    const auto current = make_endpoint(endpoint, now);
    auto& endpoints = *all.daemons[daemon].endpoints;
    const auto change =
        endpoints.report({current.name, current.incarnation, now.leaving, all.now}, all.now);
    if (change) {
        all.deliver_event(daemon, endpoints_changed{{*change}});
    }
    const auto known = endpoints.all();
    return std::ranges::any_of(
        known, [&](const endpoint_entry& entry) { return entry.endpoint.name == current.name; });
}

void list(fleet& all, std::size_t daemon, const std::vector<actual_state>& seen)
{
    std::vector<listed_endpoint> lines;
    lines.reserve(seen.size());
    for (std::size_t n = 0; n < seen.size(); ++n) {
        lines.push_back({make_endpoint(n, seen[n]), seen[n].leaving});
    }
    all.deliver_event(daemon,
                      endpoints_changed{all.daemons[daemon].endpoints->list(lines, all.now)});
}

std::vector<core::endpoint> expected_usable(const std::vector<actual_state>& state)
{
    std::vector<core::endpoint> usable;
    for (std::size_t n = 0; n < state.size(); ++n) {
        if (!state[n].leaving) {
            usable.push_back(make_endpoint(n, state[n]));
        }
    }
    return usable;
}

/// One step of a simulated history; `kind` selects the action.
struct step {
    int kind;
    std::size_t a;
    std::size_t b;

    friend std::ostream& operator<<(std::ostream& out, const step& one)
    {
        return out << '{' << one.kind << ", " << one.a << ", " << one.b << '}';
    }
};

/// Daemon, endpoint and incarnation of each report of leaving that a daemon received from the
/// endpoint itself.
using leaving_reports = std::set<std::tuple<std::size_t, std::size_t, int>>;

void apply_step(fleet& all, std::vector<actual_state>& state, leaving_reports& leaving,
                const step& one)
{
    const auto daemon = one.a % all.daemons.size();
    const auto other = one.b % all.daemons.size();
    const auto endpoint = one.b % endpoint_count;
    auto& actual = state[endpoint];
    if (one.kind == 0) {
        actual.leaving = true;
    }
    else if (one.kind == 1) {
        actual = {actual.incarnation + 1, false};
    }
    else if (one.kind == 2) {
        if (report(all, daemon, endpoint, actual) && actual.leaving) {
            leaving.emplace(daemon, endpoint, actual.incarnation);
        }
    }
    else if (one.kind == 3) {
        // The list lags: it still has the first incarnations, none leaving.
        list(all, daemon, std::vector<actual_state>(endpoint_count));
    }
    else if (one.kind == 4) {
        all.cut_link(daemon, other);
    }
    else if (one.kind == 5) {
        all.cut.clear();
        all.connect(daemon, other);
    }
    else if (one.kind == 6) {
        all.now += std::chrono::milliseconds(one.b % 4'000);
        all.deliver_event(daemon, tick{});
    }
    else if (!all.queue.empty()) {
        if (one.kind == 7) {
            all.drop(one.a);
        }
        else {
            all.deliver(one.a, one.kind == 8);
        }
    }
}

void check_leaving_unused(fleet& all, const leaving_reports& leaving)
{
    for (const auto& [daemon, endpoint, incarnation] : leaving) {
        const auto usable = all.daemons[daemon].endpoints->usable(all.now);
        const auto used = make_endpoint(endpoint, {incarnation, false});
        RC_ASSERT(std::ranges::find(usable, used) == usable.end());
    }
}

} // namespace

TEST_CASE("after lost messages and cut links all daemons converge to the actual state")
{
    rc::prop("leaving is never revoked; the daemons converge once the links are restored", [] {
        const auto steps = *rc::gen::container<std::vector<step>>(
            rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::inRange(0, 14)),
                                 rc::gen::set(&step::a, rc::gen::inRange<std::size_t>(0, 1'000)),
                                 rc::gen::set(&step::b, rc::gen::inRange<std::size_t>(0, 1'000))));
        fleet all(1, 5);
        std::vector<actual_state> state(endpoint_count);
        leaving_reports leaving;
        list(all, 0, state);
        for (const auto& one : steps) {
            apply_step(all, state, leaving, one);
            check_leaving_unused(all, leaving);
        }
        all.cut.clear();
        all.settle(std::chrono::seconds(20));
        for (std::size_t n = 0; n < endpoint_count; ++n) {
            report(all, n % all.daemons.size(), n, state[n]);
        }
        all.settle(std::chrono::seconds(60));
        const auto members = all.daemons.front().members->all();
        for (auto& one : all.daemons) {
            RC_ASSERT(one.endpoints->usable(all.now) == expected_usable(state));
            RC_ASSERT(one.members->all() == members);
            RC_ASSERT(one.members->reachable().size() == all.daemons.size());
        }
    });
}

TEST_CASE("an endpoint reported as leaving in one failure domain is not usable in any other")
{
    fleet all(3, 4);
    std::vector<actual_state> state(endpoint_count);
    for (std::size_t n = 0; n < all.daemons.size(); ++n) {
        list(all, n, state);
    }
    all.settle(std::chrono::seconds(10));
    state[1].leaving = true;
    report(all, 0, 1,
           state[1]); // Reported to a daemon of d0; the list does not have it as leaving.
    all.settle(std::chrono::seconds(4));
    for (std::size_t n = 0; n < all.daemons.size(); ++n) {
        list(all, n, std::vector<actual_state>(endpoint_count));
        CHECK(all.daemons[n].endpoints->usable(all.now) == expected_usable(state));
    }
}

TEST_CASE("an isolated daemon is marked dead and is reachable again after reconnecting")
{
    fleet all(1, 6);
    all.settle(std::chrono::seconds(10));
    for (std::size_t n = 1; n < 6; ++n) {
        all.cut_link(0, n);
    }
    all.settle(std::chrono::seconds(10));
    CHECK(all.daemons[1].members->reachable().size() == 5);
    all.cut.clear();
    all.settle(std::chrono::seconds(30));
    for (auto& one : all.daemons) {
        CHECK(one.members->reachable().size() == 6);
    }
}

TEST_CASE("a daemon with an old list receives the summary of a domain that has read a newer one")
{
    // The daemon of "d0" read the list before the daemon of "d1" was on it.
    fleet all({1, 1}, fleet::initial_list::none);
    auto listed = std::vector{all.daemons[0].entry};
    all.deliver_event(0, daemons_listed{listed});
    listed.push_back(all.daemons[1].entry);
    all.deliver_event(1, daemons_listed{listed});
    while (!all.queue.empty()) {
        all.deliver(0);
    }
    const auto known = all.daemons[0].protocol->summaries(all.now);
    REQUIRE(known.size() == 1);
    CHECK(known.front().bridges == std::vector{all.daemons[1].entry});
}

TEST_CASE("ring links grow with the logarithm of the member count and reach every member")
{
    rc::prop("every member reaches every other", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 60);
        std::vector<core::vm_id> members;
        members.reserve(count);
        for (std::size_t n = 0; n < count; ++n) {
            members.emplace_back(std::to_string(1'000 + n));
        }
        std::set<core::vm_id> reached{members.front()};
        std::vector<core::vm_id> frontier{members.front()};
        std::size_t hops = 0;
        for (; reached.size() < count; ++hops) {
            std::vector<core::vm_id> next;
            for (const auto& member : frontier) {
                std::ranges::copy(doubling_ring().choose(member, members),
                                  std::back_inserter(next));
            }
            reached.insert(next.begin(), next.end());
            frontier = std::move(next);
            RC_ASSERT(hops <= 6);
        }
        RC_ASSERT(doubling_ring().choose(members.front(), members).size() <= 6);
        RC_ASSERT(full_mesh().choose(members.front(), members).size() == count - 1);
    });
}

} // namespace ej::membership
