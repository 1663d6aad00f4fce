#include <forwarding/endpoint_registry.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

const core::endpoint_id name("i-1");
const core::service_id service("s");
const core::instant start{std::chrono::hours(1)};

endpoint_record record(std::uint64_t started = 1, bool leaving = false,
                       const std::string& endpoint = "i-1", std::uint16_t port = 1)
{
    endpoint_record made;
    made.what.name = core::endpoint_id(endpoint);
    made.what.incarnation = core::incarnation_id(std::to_string(started));
    made.what.service = service;
    made.what.where = {"10.0.0.1", port};
    made.leaving = leaving;
    made.started_ms = started;
    return made;
}

/// A registry of endpoints of `service` with its directory.
struct registrations {
    registrations() { log.name_services({service}, start); }

    endpoint_directory directory;
    endpoint_registry log{directory};
};

std::vector<core::endpoint> available(registrations& in)
{
    in.log.publish();
    return in.directory.load()->of(service);
}

std::size_t known(registrations& in)
{
    return available(in).size();
}

endpoint_record unnamed(endpoint_record from)
{
    from.what.service = core::service_id("unnamed");
    return from;
}

} // namespace

TEST_CASE("an entry removed while the store is available disappears at once")
{
    registrations in;
    auto& log = in.log;
    CHECK(log.put(name, record(), core::revision(5)));
    CHECK(known(in) == 1);
    CHECK(log.remove(name, core::revision(6), start));
    CHECK(known(in) == 0);
}

TEST_CASE("updates with an older revision are ignored")
{
    registrations in;
    auto& log = in.log;
    log.put(name, record(2), core::revision(5));
    CHECK_FALSE(log.put(name, record(1), core::revision(4)));
    CHECK_FALSE(log.remove(name, core::revision(4), start));
    CHECK(known(in) == 1);
    CHECK_FALSE(log.put(name, record(2), core::revision(6))); // Only the revision changed.
}

TEST_CASE("an entry that expired during an outage is kept for two seconds after it")
{
    registrations in;
    auto& log = in.log;
    log.put(name, record(), core::revision(5));
    log.outage();
    log.answered(start);
    CHECK_FALSE(log.remove(name, core::revision(6), start));
    CHECK_FALSE(log.expire(start + milliseconds(1'900)));
    CHECK(known(in) == 1);
    SECTION("it is registered again")
    {
        log.put(name, record(), core::revision(7));
        CHECK_FALSE(log.expire(start + milliseconds(2'100)));
        CHECK(known(in) == 1);
    }
    SECTION("it is not registered again")
    {
        CHECK(log.expire(start + milliseconds(2'100)));
        CHECK(known(in) == 0);
    }
    SECTION("the store becomes unavailable again")
    {
        log.outage();
        CHECK_FALSE(log.expire(start + milliseconds(5'000)));
        CHECK(known(in) == 1);
    }
}

TEST_CASE("entries missing in a complete listing are removed unless they are newer")
{
    registrations in;
    auto& log = in.log;
    log.put(name, record(), core::revision(5));
    log.put(core::endpoint_id("i-2"), record(1, false, "i-2", 2), core::revision(9));
    log.retain({}, core::revision(7), start);
    CHECK(known(in) == 1);
}

TEST_CASE("an incarnation that was seen leaving gets no requests again, a new one does")
{
    registrations in;
    auto& log = in.log;
    log.put(name, record(1, true), core::revision(5));
    log.put(name, record(1, false), core::revision(6));
    CHECK(known(in) == 0);
    log.remove(name, core::revision(7), start);
    log.put(name, record(1, false), core::revision(8));
    CHECK(known(in) == 0);
    log.put(name, record(2, false), core::revision(9));
    CHECK(known(in) == 1);
}

TEST_CASE("an unreadable entry counts as removed")
{
    registrations in;
    auto& log = in.log;
    log.put(name, record(), core::revision(5));
    CHECK(log.put(name, std::nullopt, core::revision(6)));
    CHECK(known(in) == 0);
}

TEST_CASE("of several entries with one address only the latest start is used")
{
    registrations in;
    auto& log = in.log;
    log.put(core::endpoint_id("i-new"), record(9, false, "i-new"), core::revision(6));
    log.put(core::endpoint_id("i-old"), record(3, false, "i-old"), core::revision(7));
    REQUIRE(known(in) == 1);
    CHECK(available(in).front().name == core::endpoint_id("i-new"));
}

// Guards against entries of another writer hiding, replacing or ending sound ones.
TEST_CASE("whatever other entries claim, the endpoints in use are those of the sound entries")
{
    const bool holds = rc::check([] {
        registrations in;
        registrations sound;
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
        for (std::uint64_t step = 1; step <= count; ++step) {
            const auto key = *rc::gen::element<std::string>("i-1", "i-2", "i-3", "x-1", "x-2");
            const core::endpoint_id entry(key);
            const core::revision at(step);
            const auto one =
                record(*rc::gen::inRange<std::uint64_t>(0, 5), *rc::gen::inRange(0, 4) == 0, key,
                       *rc::gen::inRange<std::uint16_t>(1, 4));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                in.log.remove(entry, at, start);
                sound.log.remove(entry, at, start);
                break;
            case 1:
                in.log.put(entry, std::nullopt, at);
                sound.log.put(entry, std::nullopt, at);
                break;
            case 2:
            case 3:
                in.log.put(entry, unnamed(one), at);
                sound.log.put(entry, std::nullopt, at);
                break;
            default:
                in.log.put(entry, one, at);
                sound.log.put(entry, one, at);
                break;
            }
            RC_ASSERT(available(in) == available(sound));
            RC_ASSERT(in.directory.load()->size() == sound.directory.load()->size());
        }
    });
    CHECK(holds);
}

TEST_CASE("entries take effect once a configuration names their service")
{
    registrations in;
    const core::service_id later("unnamed");
    in.log.put(name, unnamed(record(1)), core::revision(1));
    auto leaving = unnamed(record(1, true, "i-2", 2));
    in.log.put(leaving.what.name, leaving, core::revision(2));
    CHECK(known(in) == 0);
    CHECK(in.directory.load()->size() == 0);
    CHECK(in.log.name_services({service, later}, start));
    in.log.publish();
    CHECK(in.directory.load()->of(later) == std::vector{unnamed(record(1)).what});
    CHECK(in.directory.is_leaving(run_of(leaving.what)));
}

TEST_CASE("endpoints of a dropped service serve the requests that were accepted before")
{
    registrations in;
    in.log.put(name, record(), core::revision(1));
    CHECK_FALSE(in.log.name_services({}, start));
    CHECK_FALSE(in.log.expire(start + named_services::retention - milliseconds(1)));
    CHECK(known(in) == 1);
    SECTION("until their deadlines have passed")
    {
        CHECK(in.log.expire(start + named_services::retention));
        CHECK(known(in) == 0);
    }
    SECTION("and later ones once it is named again")
    {
        in.log.name_services({service}, start + milliseconds(1));
        CHECK_FALSE(in.log.expire(start + 2 * named_services::retention));
        CHECK(known(in) == 1);
    }
}

} // namespace ej::forwarding
