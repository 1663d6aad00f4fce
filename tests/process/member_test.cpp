#include "deployment.h"

#include <harness/http_client.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace ej::process_tests {

namespace {

nlohmann::json operator_call(const harness::node& daemon, const std::string& method,
                             const std::string& target, const std::string& body = {})
{
    const harness::http_call call{
        method, target, {{"Authorization", "Bearer " + harness::fleet::operator_key}}, body};
    const auto answer = harness::send(daemon.operator_address, call);
    REQUIRE(answer.ok());
    auto parsed = nlohmann::json::parse(answer->body, nullptr, false);
    parsed["http_status"] = answer->status;
    return parsed;
}

/// Polls until the daemon's status satisfies `condition`. The harness limits the time of each
/// answer, CTest that of the test.
template <class Condition>
nlohmann::json wait_for_status(const harness::node& daemon, Condition condition)
{
    for (;;) {
        auto status = operator_call(daemon, "GET", "/status");
        if (condition(status)) {
            return status;
        }
    }
}

/// Returns once neither daemon's status lists `endpoint`, so that it gets no new work.
void wait_until_endpoint_removed(const harness::fleet& fleet, const std::string& endpoint)
{
    for (const auto* name : {"d1", "d2"}) {
        wait_for_status(fleet.at(name), [&](const auto& status) {
            return std::ranges::none_of(status.at("endpoints"), [&](const auto& one) {
                return one.at("name") == endpoint;
            });
        });
    }
}

std::uint64_t revision_in(const nlohmann::json& status)
{
    return status.at("configuration").at("revision_in_force").get<std::uint64_t>();
}

} // namespace

TEST_CASE("a class accepted by one daemon applies at the others and stays during a platform outage")
{
    deployment system(1);
    auto& fleet = system.fleet();
    const auto& first = fleet.at("d1");
    const auto& second = fleet.at("d2");
    const std::string body = R"({"kind":"generation","service":"bell-signal"})";
    wait_for_status(first, [](const auto& status) { return status.at("ready") == true; });
    const auto put_answer = operator_call(first, "PUT", "/classes/dossier?if_revision=0", body);
    CHECK(put_answer.at("http_status") == 200);
    wait_for_status(second, [](const auto& status) { return revision_in(status) >= 1; });
    fleet.fault(harness::fleet::platform_name, {{"outage", true}});
    const auto refused = operator_call(second, "PUT", "/classes/other?if_revision=0", body);
    CHECK(refused.at("http_status") != 200);
    CHECK(revision_in(operator_call(first, "GET", "/status")) == 1);
    CHECK(revision_in(operator_call(second, "GET", "/status")) == 1);
}

TEST_CASE("a daemon watches the platform while there is no configuration")
{
    deployment system(0);
    const auto count = [&](const std::string& name) {
        return system.fleet().read(harness::fleet::platform_name, "/stats").value(name, 0);
    };
    while (count("watches") < 2) {
    }
    SUCCEED("the platform got two watches while it had no configuration");
}

TEST_CASE("of two changes to one class revision the second gets a conflict")
{
    deployment system(1);
    auto& fleet = system.fleet();
    for (const auto* name : {"d1", "d2"}) {
        wait_for_status(fleet.at(name),
                        [](const auto& status) { return status.at("ready") == true; });
    }
    const std::string body = R"({"kind":"generation","service":"bell-signal"})";
    const auto one = operator_call(fleet.at("d1"), "PUT", "/classes/dossier?if_revision=0", body);
    const auto other = operator_call(fleet.at("d2"), "PUT", "/classes/dossier?if_revision=0", body);
    CHECK(one.at("http_status") == 200);
    CHECK(other.at("http_status") == 409);
}

TEST_CASE(
    "an endpoint that reports leaving gets no new work although the platform lists it as live")
{
    deployment system(2, {"--tokens-per-second", "400"});
    auto& fleet = system.fleet();
    harness::generation_caller running(summary("long", 400));
    REQUIRE(running.start(system.daemon("d1")) == harness::stream_state::flowing);
    running.read_until(5);
    const auto leaving = system.running_engine();
    fleet.fault(leaving, {{"leaving", true}});
    wait_until_endpoint_removed(fleet, leaving);
    const auto calls = fleet.read(leaving, "/stats").at("generations");
    for (int i = 0; i < 6; ++i) {
        harness::generation_caller next(summary("after " + std::to_string(i), 5));
        next.start(system.daemon(i % 2 == 0 ? "d1" : "d2"));
        CHECK(next.read_to_end() == harness::stream_state::ended);
    }
    CHECK(fleet.read(leaving, "/stats").at("generations") == calls);
    CHECK(running.read_to_end() == harness::stream_state::ended);
    CHECK(running.answer().tokens == 400);
}

} // namespace ej::process_tests
