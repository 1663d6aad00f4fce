#include "short_requests.h"

#include <catch2/catch.hpp>

#include <array>

#include <signal.h>

namespace ej::process_tests {

namespace {

constexpr const auto* key = short_request_key;

std::future<nlohmann::json> confirm(const deployment& system, const std::string& daemon)
{
    return submit(system, daemon, "departure", "07:40 has left");
}

std::string outcome(const nlohmann::json& answer)
{
    return answer.value("outcome", "");
}

} // namespace

TEST_CASE("a confirmation sent through two daemons at once runs once")
{
    deployment system(0, {}, 2);
    std::array answers{confirm(system, "d1"), confirm(system, "d2")};
    const std::array bodies{answers[0].get(), answers[1].get()};
    INFO(bodies[0] << " " << bodies[1]);
    const std::array outcomes{outcome(bodies[0]), outcome(bodies[1])};
    CHECK(system.executions(key) == 1);
    CHECK((outcomes[0] == "done" || outcomes[1] == "done"));
    CHECK((outcomes[0] != "refused" && outcomes[1] != "refused"));
}

TEST_CASE("a confirmation whose answer was lost is not run again by another daemon")
{
    deployment system(0, {}, 2);
    for (const auto& application : system.applications()) {
        system.fleet().fault(application, {{"lose_answers", 1}});
    }
    CHECK(outcome(confirm(system, "d1").get()) == "outcome_unknown");
    CHECK(outcome(confirm(system, "d2").get()) == "outcome_unknown");
    CHECK(system.executions(key) == 1);
}

TEST_CASE("a confirmation whose daemon dies while it runs is not run again")
{
    deployment system(0, {}, 2);
    auto first = confirm(system, "d1");
    system.wait_until_executed("a1", key);
    system.fleet().kill("d1");
    CHECK(outcome(first.get()) == "broken");
    const auto second = outcome(confirm(system, "d2").get());
    CHECK((second == "outcome_unknown" || second == "done"));
    CHECK(system.executions(key) == 1);
}

TEST_CASE("a confirmation runs once when the platform's answer to the claim write is lost")
{
    deployment system(0, {}, 2);
    system.fleet().fault(harness::fleet::platform_name, {{"lose_answers", 1}});
    CHECK(outcome(confirm(system, "d1").get()) == "done");
    CHECK(outcome(confirm(system, "d2").get()) == "done");
    CHECK(system.executions(key) == 1);
}

TEST_CASE("a confirmation during a platform outage runs at most once and its outcome agrees")
{
    deployment system(0, {}, 2);
    // After this call the daemon has the endpoints.
    REQUIRE(outcome(submit(system, "d1", "berth", "status").get()) == "done");
    const auto before = system.executions(key);
    system.fleet().fault(harness::fleet::platform_name, {{"outage", true}});
    const auto first = outcome(confirm(system, "d1").get());
    const auto ran = system.executions(key) - before;
    CHECK((first != "refused" || ran == 0));
    CHECK((first != "done" || ran == 1));
    static_cast<void>(confirm(system, "d2").get());
    system.fleet().fault(harness::fleet::platform_name, {{"outage", false}});
    static_cast<void>(confirm(system, "d2").get());
    CHECK(system.executions(key) - before <= 1);
}

TEST_CASE("a stopping daemon finishes the confirmation in flight before it exits")
{
    deployment system(0, {}, 1);
    auto answer = confirm(system, "d1");
    system.wait_until_executed("a1", key);
    system.fleet().signal("d1", SIGTERM);
    CHECK(outcome(answer.get()) == "done");
    CHECK(system.fleet().wait("d1") == 0);
}

} // namespace ej::process_tests
