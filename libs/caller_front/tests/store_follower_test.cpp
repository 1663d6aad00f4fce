#include "front_context.h"
#include "store_follower.h"
#include "store_update.h"

#include <adapter/site.h>
#include <fleet/endpoint_stand_in.h>
#include <fleet/store_stand_in.h>

#include <http/client.h>
#include <platform/store.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds longest_wait{20'000}; // Prevents a hang.

// Long enough that the follower sends no query of its own during a test.
constexpr std::chrono::minutes no_polling{10};

front_settings settings_for(const fleet::store_stand_in& store, core::duration apply_within)
{
    front_settings made;
    made.vm = core::vm_id("vm-2");
    made.domain = core::failure_domain_id("z1");
    made.peer_listen = {"127.0.0.1", 9};
    made.store = store.address();
    made.apply_within = apply_within;
    return made;
}

/// A follower that has listed a store with one endpoint, "i-1".
class follower_fixture {
public:
    explicit follower_fixture(core::duration apply_within = no_polling)
        : context(settings_for(store, apply_within), adapter::make_site().headers)
    {
        put("i-1");
        context.send_store_update = [this](const store_update& one) {
            sent_updates.push_back(one);
        };
        asio::co_spawn(loop, [this] { return follower.run(); }, asio::detached);
        run_until([this] { return names().size() == 1; });
    }

    void put(const std::string& name)
    {
        store.put("servers/" + name, entry(name));
        ++revision;
    }

    static std::string entry(const std::string& name)
    {
        return fleet::registration("app", {"10.0.0." + name.substr(2), 80}, "z1");
    }

    [[nodiscard]] std::set<std::string> names() const
    {
        std::set<std::string> found;
        for (const auto& one : context.endpoints.load()->of(core::service_id("app"))) {
            found.insert(one.name.text());
        }
        return found;
    }

    [[nodiscard]] platform::store_item item(const std::string& name, std::uint64_t at) const
    {
        return {"servers/" + name, entry(name), core::revision(at)};
    }

    template <class Done>
    bool run_until(const Done& done)
    {
        const auto end = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < end) {
            loop.run_for(milliseconds(5));
            loop.restart();
        }
        return done();
    }

    fleet::store_stand_in store;
    std::uint64_t revision = 1; // Revision of the store.
    front_context context;
    asio::io_context loop{1};
    http::client transport{asio::make_strand(loop)};
    site where = adapter::make_site();
    platform::store calls{transport, {store.address(), std::chrono::seconds(1)}, where.protocol};
    store_follower follower{context, calls, *where.layout, loop};
    std::vector<store_update> sent_updates;
};

} // namespace

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
