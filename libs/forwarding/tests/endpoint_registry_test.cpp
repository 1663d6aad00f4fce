#include <forwarding/endpoint_registry.h>

#include <catch2/catch.hpp>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

const core::endpoint_id name("i-1");

endpoint_record record(std::uint64_t started = 1, bool leaving = false,
                       const std::string& endpoint = "i-1", std::uint16_t port = 1)
{
    endpoint_record made;
    made.what.name = core::endpoint_id(endpoint);
    made.what.incarnation = core::incarnation_id(std::to_string(started));
    made.what.service = core::service_id("s");
    made.what.where = {"10.0.0.1", port};
    made.leaving = leaving;
    made.started_ms = started;
    return made;
}

/// A registry with its directory.
struct registrations {
    endpoint_directory directory;
    endpoint_registry log{directory};
};

std::vector<core::endpoint> available(registrations& in)
{
    in.log.publish();
    return in.directory.load()->of(core::service_id("s"));
}

std::size_t known(registrations& in)
{
    return available(in).size();
}

const core::instant start{std::chrono::hours(1)};

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

} // namespace ej::forwarding
