#include "follower_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace ej::front {

TEST_CASE("an update from a peer is applied without a query to the store")
{
    follower_fixture in;
    const auto calls = in.store.calls();
    const auto at = in.revision;
    in.follower.apply_update(
        {core::revision(at), core::revision(at + 2), false, {in.item("i-2", at + 1)}});
    CHECK(in.names() == std::set<std::string>{"i-1", "i-2"});
    in.follower.apply_update({core::revision(at + 2),
                              core::revision(at + 3),
                              false,
                              {{"servers/i-1", std::nullopt, core::revision(at + 3)}}});
    CHECK(in.names() == std::set<std::string>{"i-2"});
    // An older update, such as from a delayed datagram, restores nothing.
    in.follower.apply_update(
        {core::revision(at), core::revision(at + 1), false, {in.item("i-1", at + 1)}});
    CHECK(in.names() == std::set<std::string>{"i-2"});
    CHECK(in.store.calls() == calls);
}

TEST_CASE("an update after a missing one is ignored and the store is queried")
{
    follower_fixture in(std::chrono::seconds(1));
    in.put("i-2");
    in.put("i-3");
    in.follower.apply_update({core::revision(in.revision - 1),
                              core::revision(in.revision),
                              false,
                              {in.item("i-3", in.revision)}});
    CHECK(in.names() == std::set<std::string>{"i-1"});
    CHECK(in.run_until([&] { return in.names().size() == 3; }));
    // The follower sends the result to its peers, including everything a peer may lack.
    REQUIRE_FALSE(in.sent_updates.empty());
    CHECK(in.sent_updates.back().as_of >= core::revision(in.revision));
}

TEST_CASE("an entry removed while the store recovers is kept for the grace period, and no longer")
{
    follower_fixture in(std::chrono::seconds(1));
    in.put("i-2");
    REQUIRE(in.run_until([&] { return in.names().size() == 2; }));
    in.store.set_unavailable(true);
    const auto calls = in.store.calls();
    REQUIRE(in.run_until([&] { return in.store.calls() > calls + 1; }));
    const auto at = in.revision;
    in.follower.apply_update({core::revision(at),
                              core::revision(at + 1),
                              false,
                              {{"servers/i-1", std::nullopt, core::revision(at + 1)}}});
    CHECK(in.names().size() == 2);
    // Further updates arrive; they do not restart the grace period.
    const auto end =
        std::chrono::steady_clock::now() + 2 * forwarding::endpoint_registry::return_grace;
    in.store.set_unavailable(false);
    CHECK(in.run_until([&] {
        in.follower.apply_update({core::revision(at + 1), core::revision(at + 1), false, {}});
        return in.names() == std::set<std::string>{"i-2"} || std::chrono::steady_clock::now() > end;
    }));
    CHECK(in.names() == std::set<std::string>{"i-2"});
}

TEST_CASE("the end of an outage is reported although a peer reached the store first")
{
    follower_fixture in(std::chrono::seconds(1));
    int returns = 0;
    in.context.store_returned = [&] { ++returns; };
    in.store.set_unavailable(true);
    const auto calls = in.store.calls();
    REQUIRE(in.run_until([&] { return in.store.calls() > calls + 1; }));
    in.follower.apply_update({core::revision(in.revision), core::revision(in.revision), false, {}});
    CHECK(returns == 0);
    in.store.set_unavailable(false);
    CHECK(in.run_until([&] { return returns == 1; }));
}

TEST_CASE("an update is split into parts with contiguous revisions")
{
    const bool holds = rc::check([] {
        const auto count = *rc::gen::inRange<std::uint64_t>(0, 100);
        store_update whole{core::revision(10), core::revision(10 + count + 5), false, {}};
        for (std::uint64_t number = 1; number <= count; ++number) {
            whole.items.push_back({"k", std::nullopt, core::revision(10 + number)});
        }
        const auto parts = split_update(whole);
        store_update joined = whole;
        joined.items.clear();
        auto known = whole.since;
        for (const store_update& part : parts) {
            RC_ASSERT(part.since == known);
            known = part.as_of;
            joined.items.insert(joined.items.end(), part.items.begin(), part.items.end());
        }
        RC_ASSERT(known == whole.as_of);
        RC_ASSERT(joined == whole);
    });
    CHECK(holds);
    const store_update oversized{core::revision(1), core::revision(2), true, {{"k", {}, {}}}};
    REQUIRE(split_update(oversized).size() == 1);
    CHECK(split_update(oversized).front().items.empty());
}

TEST_CASE("a part whose entry is in the store is held back and a malformed entry is skipped")
{
    follower_fixture in;
    const auto at = in.revision;
    in.follower.apply_update({core::revision(at),
                              core::revision(at + 3),
                              false,
                              {{"endivejunction-held/d1", "1 0", core::revision(at + 1)},
                               {"endivejunction-held/d2", "2 0", core::revision(at + 2)},
                               {"endivejunction-held/x", "1 0", core::revision(at + 3)}}});
    const auto holds = [&](std::uint64_t part) {
        const suspects::part_digest one(part);
        return in.context.parts.holds_any(std::span(&one, 1));
    };
    CHECK(holds(0xd1));
    CHECK_FALSE(holds(0xd2));
    CHECK(in.context.metrics.text().find("held_part_faults_total 1") != std::string::npos);
}

TEST_CASE("an old entry of a part that had output since does not hold it back")
{
    follower_fixture in;
    const suspects::part_digest part(0xd1);
    in.context.parts.record_output(std::span(&part, 1));
    const auto at = in.revision;
    in.follower.apply_update({core::revision(at),
                              core::revision(at + 1),
                              false,
                              {{"endivejunction-held/d1", "1 0", core::revision(at + 1)}}});
    CHECK_FALSE(in.context.parts.holds_any(std::span(&part, 1)));
}

} // namespace ej::front
