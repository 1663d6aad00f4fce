#include "caller.h"
#include "crashing_engines.h"
#include "daemon_pair.h"

#include <catch2/catch.hpp>

#include <string>

namespace ej::forward_tests {

namespace {

constexpr int times_sent = 5;
constexpr const char* suspects_prefix = "endivejunction-suspect/";

std::string ask(const daemon_fixture& at, const std::string& id)
{
    caller connection(at.listen_address());
    connection.send(request("POST", "/gen/x", id, crashing_engines::crashing_body));
    return connection.read_to_end();
}

/// Sends the crashing request a few times; true if the last one is refused.
bool ask_until_refused(const daemon_fixture& at)
{
    for (int number = 0; number < times_sent; ++number) {
        static_cast<void>(ask(at, "before" + std::to_string(number)));
    }
    return ask(at, "refused").starts_with("HTTP/1.1 503 ");
}

bool is_stored(daemon_pair& daemons)
{
    return daemons.first.store.count(suspects_prefix) == 1;
}

bool has_learnt_deaths(const daemon_fixture& one)
{
    return one.metrics().find("endivejunction_deaths_handed_on_total ") != std::string::npos;
}

} // namespace

// BUDGET: each daemon that restarted let a request crash three more endpoints.
TEST_CASE("daemons that restart in turn go on refusing a request that crashes endpoints")
{
    const bool after_output = GENERATE(false, true);
    daemon_pair daemons;
    // The other daemon alone can tell.
    daemons.first.store.refuse_writes_of(suspects_prefix);
    const crashing_engines engines(daemons.first, after_output);
    daemons.start();
    REQUIRE(daemons.wait_until_connected(crashing_engines::count));
    REQUIRE(ask_until_refused(daemons.first));
    const int runs = engines.runs();
    for (daemon_fixture* const one : daemons.all) {
        one->daemon.reset();
        one->start();
        REQUIRE(daemon_fixture::wait_until([&] { return has_learnt_deaths(*one); }));
        CHECK(ask(*one, "after").starts_with("HTTP/1.1 503 "));
    }
    CHECK(engines.runs() == runs);
}

// BUDGET: after the death of all daemons a request was free to crash as many endpoints again.
TEST_CASE("a request that crashes endpoints is refused after all daemons were killed at once")
{
    const bool after_output = GENERATE(false, true);
    daemon_pair daemons;
    const crashing_engines engines(daemons.first, after_output);
    daemons.start();
    REQUIRE(daemons.wait_until_connected(crashing_engines::count));
    REQUIRE(ask_until_refused(daemons.first));
    const int runs = engines.runs();
    for (int restart = 0; restart < 2; ++restart) {
        daemons.restart();
        for (const daemon_fixture* const one : daemons.all) {
            CHECK(ask(*one, "after").starts_with("HTTP/1.1 503 "));
        }
    }
    CHECK(engines.runs() == runs);
}

// BUDGET: the store may be away when the evidence suffices.
TEST_CASE("evidence against a request is written once the store is back")
{
    daemon_pair daemons;
    const crashing_engines engines(daemons.first, false);
    daemons.start();
    REQUIRE(daemons.wait_until_connected(crashing_engines::count));
    daemons.first.store.set_unavailable(true);
    REQUIRE(ask_until_refused(daemons.first));
    const int runs = engines.runs();
    CHECK_FALSE(is_stored(daemons));
    daemons.first.store.set_unavailable(false);
    REQUIRE(daemon_fixture::wait_until([&] { return is_stored(daemons); }));
    daemons.restart();
    CHECK(ask(daemons.first, "after").starts_with("HTTP/1.1 503 "));
    CHECK(engines.runs() == runs);
}

} // namespace ej::forward_tests
