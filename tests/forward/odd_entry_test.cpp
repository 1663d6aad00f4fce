#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

const core::address somewhere{"127.0.0.1", 9};

std::string changed(const std::string& from, const std::string& to)
{
    auto text = fleet::registration("app", somewhere, "z1");
    return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> odd_values()
{
    const std::string deep(50'000, '[');
    return {deep,
            deep + std::string(deep.size(), ']'),
            changed(R"("app")", deep + std::string(deep.size(), ']')),
            changed(R"("slots":8)", R"("slots":1e400)"),
            changed(R"("slots":8)", R"("slots":1000000000000000000000000000000)"),
            changed(R"("slots":8)", R"("slots":-8)"),
            changed(R"("born":1)", R"("born":18446744073709551615)"),
            changed(R"("born":1)", R"("born":"1")"),
            changed(R"("sequence":1)", R"("sequence":[])"),
            changed("127.0.0.1:9", "127.0.0.1:70000"),
            changed("127.0.0.1:9", "127.0.0.1:0"),
            changed("127.0.0.1:9", "127.0.0.1:-1"),
            changed("127.0.0.1:9", "127.0.0.1:9x"),
            changed("127.0.0.1:9", "host:9"),
            changed(R"("ready")", R"("asleep")"),
            std::string("\0\xff\xfe", 3),
            "",
            "[]",
            "null"};
}

bool is_served(const daemon_fixture& fixture, const std::string& id)
{
    caller connection(fixture.listen_address());
    connection.send(request("GET", "/read/x", id));
    return connection.read_answer().find(" 200 ") != std::string::npos;
}

bool counts(const daemon_fixture& fixture, const std::string& metric, std::size_t count)
{
    return fixture.metrics().find("endivejunction_" + metric + " " + std::to_string(count) +
                                  "\n") != std::string::npos;
}

/// Writes `values` among the registrations and among the daemons' own entries.
void put_all(daemon_fixture& fixture, const std::vector<std::string>& values)
{
    for (std::size_t number = 0; number < values.size(); ++number) {
        fixture.store.put("servers/odd-" + std::to_string(number), values[number]);
        fixture.store.put("endivejunction/odd-" + std::to_string(number), values[number]);
    }
}

/// Checks that a later registration and the removal of "i-1", the only endpoint, are followed.
void check_followed(daemon_fixture& fixture)
{
    const endpoint_stand_in second(serve);
    fixture.add("i-2", "app", second);
    CHECK(fixture.wait_for_endpoints(2));
    fixture.store.remove("servers/i-1");
    CHECK(fixture.wait_for_endpoints(1));
    CHECK(is_served(fixture, "b"));
    CHECK(second.requests().size() == 1);
}

} // namespace

TEST_CASE("odd entries among the registrations leave the others in use and are counted once")
{
    daemon_fixture fixture;
    const endpoint_stand_in first(serve);
    fixture.add("i-1", "app", first);
    const bool before_start = GENERATE(true, false);
    const auto odd = odd_values();
    if (before_start) {
        put_all(fixture, odd);
    }
    fixture.configure_and_start(1);
    if (!before_start) {
        put_all(fixture, odd);
    }
    CHECK(daemon_fixture::wait_until(
        [&] { return counts(fixture, "endpoint_faults_total", odd.size()); }));
    CHECK(is_served(fixture, "a"));
    check_followed(fixture);
    CHECK(counts(fixture, "endpoint_faults_total", odd.size()));
}

TEST_CASE("an odd entry is counted once although the registrations are listed again")
{
    daemon_fixture fixture;
    const endpoint_stand_in first(serve);
    fixture.store.put("servers/odd", "[]");
    fixture.configure_and_start(0);
    REQUIRE(counts(fixture, "endpoint_faults_total", 1));
    fixture.store.drop_history();
    fixture.add("i-1", "app", first);
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(counts(fixture, "endpoint_faults_total", 1));
    fixture.store.put("servers/odd", "{}");
    CHECK(daemon_fixture::wait_until([&] { return counts(fixture, "endpoint_faults_total", 2); }));
}

TEST_CASE("an endpoint whose entry becomes odd is not used until the entry is valid again")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    fixture.store.put("servers/i-1", odd_values().front());
    CHECK(fixture.wait_for_endpoints(0));
    fixture.add("i-1", "app", app);
    CHECK(fixture.wait_for_endpoints(1));
    CHECK(is_served(fixture, "a"));
}

// Guards against an entry of another writer taking the place of the endpoint at its address.
TEST_CASE("entries of an unnamed service at the addresses of endpoints leave these in use")
{
    daemon_fixture fixture;
    const endpoint_stand_in first(serve);
    const endpoint_stand_in second(serve);
    const std::string state = GENERATE("ready", "draining");
    const bool before_start = GENERATE(true, false);
    const auto put_foreign_entries = [&] {
        fixture.add("foreign-1", "unnamed", first, "z1", state, 2);
        fixture.add("foreign-2", "unnamed", second, "z2", state, 2);
    };
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second);
    if (before_start) {
        put_foreign_entries();
    }
    fixture.configure_and_start(2);
    if (!before_start) {
        put_foreign_entries();
        // A later change shows that the entries have been read.
        const endpoint_stand_in third(serve);
        fixture.add("i-3", "app", third);
        CHECK(fixture.wait_for_endpoints(3));
        fixture.store.remove("servers/i-3");
        CHECK(fixture.wait_for_endpoints(2));
    }
    CHECK(is_served(fixture, "a"));
    CHECK(is_served(fixture, "b"));
}

// Guards against an entry of another writer ending the use of an endpoint for good.
TEST_CASE("an entry of an unnamed service under the name of an endpoint does not make it leave")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    fixture.add("i-1", "unnamed", app, "z1", "draining");
    CHECK(fixture.wait_for_endpoints(0));
    fixture.add("i-1", "app", app);
    CHECK(fixture.wait_for_endpoints(1));
    CHECK(is_served(fixture, "a"));
}

TEST_CASE("an endpoint registered before a configuration names its service is used from then on")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "later", app);
    fixture.configure_and_start(0);
    fixture.configure(2, R"(,{"name":"r-later","host":"h.example","prefix":"/later/",)"
                         R"("kind":"idempotent","timeoutMs":2000,"service":"later"})");
    CHECK(fixture.wait_for_endpoints(1));
    caller connection(fixture.listen_address());
    connection.send(request("GET", "/later/x", "a"));
    CHECK(connection.read_answer().find(" 200 ") != std::string::npos);
}

TEST_CASE("a configuration with odd values leaves the one in force and a later one is applied")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    for (const auto& value : odd_values()) {
        fixture.store.put("op/config", value);
        CHECK(is_served(fixture, "a"));
    }
    fixture.configure(2);
    CHECK(daemon_fixture::wait_until([&] { return counts(fixture, "configuration_version", 2); }));
    CHECK(is_served(fixture, "b"));
}

TEST_CASE("a thousand odd entries written while the store is away do not hide a registration")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.configure_and_start(0);
    fixture.store.set_unavailable(true);
    REQUIRE(daemon_fixture::wait_until([&] { return counts(fixture, "store_away", 1); }));
    const std::string large(8'000, '[');
    for (int number = 0; number < 1'000; ++number) {
        fixture.store.put("servers/a-" + std::to_string(number), large);
    }
    fixture.add("i-1", "app", app);
    fixture.store.set_unavailable(false);
    CHECK(fixture.wait_for_endpoints(1));
    CHECK(is_served(fixture, "a"));
    CHECK(counts(fixture, "endpoint_faults_total", 1'000));
}

} // namespace ej::forward_tests
