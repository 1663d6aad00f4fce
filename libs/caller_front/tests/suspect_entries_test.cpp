#include "stored_suspect.h"
#include "suspect_entries.h"

#include <adapter/site.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::front {

namespace {

using platform::store_write;

constexpr std::size_t most_changes = 32;
constexpr suspects::request_digest request{5};

front_settings settings_of(const std::string& vm)
{
    front_settings made;
    made.vm = core::vm_id(vm);
    return made;
}

/// The entries of a daemon, among `members`.
struct daemon_entries {
    explicit daemon_entries(const std::string& vm, const std::vector<std::string>& members)
        : context(settings_of(vm), where.headers)
    {
        context.parts.members.store(std::vector<core::vm_id>(members.begin(), members.end()));
    }

    /// Learns that `request` ran alone at an endpoint that died.
    void hear_death(int number)
    {
        const suspects::death_id death{core::endpoint_id("e" + std::to_string(number)),
                                       core::incarnation_id("1")};
        context.suspects.record_death({death, {request}, {}}, now());
    }

    void observe_death(int number)
    {
        hear_death(number);
        entries.observe(request);
    }

    /// Makes the changes that are due and returns them.
    std::vector<store_write> make_changes()
    {
        auto changes = entries.due(most_changes);
        for (const store_write& one : changes) {
            entries.record(one);
        }
        return changes;
    }

    site where = adapter::make_site();
    front_context context;
    suspect_entries entries{context, *where.layout};
};

} // namespace

TEST_CASE("a request has an entry from its second death until it completes")
{
    daemon_entries in("vm-1", {"vm-1"});
    CHECK(in.entries.idle());
    in.observe_death(1);
    CHECK(in.make_changes().empty());
    in.observe_death(2);
    REQUIRE(in.make_changes().size() == 1);
    CHECK(in.make_changes().empty());
    in.observe_death(3);
    const auto written = in.make_changes();
    REQUIRE(written.size() == 1);
    REQUIRE(written.front().value);
    CHECK(parse_stored_suspect(*written.front().value, time_of_day())->size() == 3);
    in.context.suspects.clear(request);
    const auto removed = in.make_changes();
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().key == written.front().key);
    CHECK_FALSE(removed.front().value);
    CHECK(in.make_changes().empty());
    CHECK(in.entries.idle());
}

TEST_CASE("of the daemons that know a death the one that observed it and the owner write the entry")
{
    const std::vector<std::string> members{"vm-1", "vm-2", "vm-3"};
    int writers = 0;
    for (const std::string& vm : members) {
        daemon_entries in(vm, members);
        in.hear_death(1);
        in.hear_death(2);
        writers += in.make_changes().empty() ? 0 : 1;
        in.observe_death(3);
        CHECK(in.make_changes().size() == 1);
    }
    CHECK(writers == 1);
}

TEST_CASE("requests that went through two losses of whole domains have no entries")
{
    daemon_entries in("vm-1", {"vm-1"});
    const auto lose_domain = [&](const std::string& domain, core::instant at) {
        for (std::uint64_t number = 1; number <= 4; ++number) {
            const suspects::request_digest stream(number);
            in.context.suspects.record_death(
                {{core::endpoint_id(domain + std::to_string(number)), core::incarnation_id("1")},
                 {stream, suspects::request_digest(100 + number)},
                 {}},
                at);
            in.entries.observe(stream);
        }
    };
    const auto at = now();
    lose_domain("a", at - std::chrono::seconds(20));
    lose_domain("b", at - std::chrono::seconds(10));
    CHECK(in.entries.due(most_changes).empty());
    // One of them crashes an endpoint at another time.
    const suspects::request_digest stream(1);
    in.context.suspects.record_death(
        {{core::endpoint_id("c"), core::incarnation_id("1")}, {stream}, {}},
        at - std::chrono::seconds(5));
    in.entries.observe(stream);
    CHECK(in.make_changes().size() == 1);
}

// Guards against writing the same entry again without end.
TEST_CASE("an entry that its format cannot hold is not written")
{
    daemon_entries in("vm-1", {"vm-1"});
    for (const std::string name : {"a b", "c d"}) {
        in.context.suspects.record_death(
            {{core::endpoint_id(name), core::incarnation_id("1")}, {request}, {}}, now());
        in.entries.observe(request);
    }
    CHECK(in.entries.due(most_changes).empty());
}

} // namespace ej::front
