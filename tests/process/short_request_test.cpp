#include "short_requests.h"

#include <catch2/catch.hpp>

#include <signal.h>

namespace ej::process_tests {

namespace {

constexpr const auto* key = short_request_key;

} // namespace

TEST_CASE("an idempotent request whose application dies is run by another")
{
    deployment system(0, {}, 2);
    auto answer = submit(system, "d1", "berth", "status of berth 4");
    system.wait_until_executed("a1", key); // a1 is in the daemon's failure domain.
    system.fleet().kill("a1");
    const auto result = answer.get();
    CHECK(result.value("outcome", "") == "done");
    CHECK(result.dump().find("status of berth 4") != std::string::npos);
}

TEST_CASE("a request that may have run ends as outcome_unknown, not as refused")
{
    deployment system(0, {}, 2);
    for (const auto& application : system.applications()) {
        system.fleet().fault(application, {{"lose_answers", 100}});
    }
    const auto result = submit(system, "d1", "berth", "status").get();
    CHECK(system.executions(key) > 0);
    CHECK(result.value("outcome", "") == "outcome_unknown");
}

TEST_CASE("a request that all applications refuse ends as refused and has not run")
{
    deployment system(0, {}, 2);
    for (const auto& application : system.applications()) {
        system.fleet().fault(application, {{"refuse", true}});
    }
    const auto result = submit(system, "d1", "berth", "status").get();
    CHECK(system.executions(key) == 0);
    CHECK(result.value("outcome", "") == "refused");
}

TEST_CASE("a stopping daemon finishes the request in flight before it exits")
{
    deployment system(0, {}, 1);
    auto answer = submit(system, "d1", "berth", "status");
    system.wait_until_executed("a1", key);
    system.fleet().signal("d1", SIGTERM);
    CHECK(answer.get().value("outcome", "") == "done");
    CHECK(system.fleet().wait("d1") == 0);
}

} // namespace ej::process_tests
