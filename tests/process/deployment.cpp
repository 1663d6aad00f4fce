#include "deployment.h"

#include <stand_ins/token_text.h>

#include <harness/http_client.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace ej::process_tests {

namespace {

const std::array<std::string, 2> domains{"recife", "salvador"};
const std::string service = "bell-signal";

std::uint64_t counter(const harness::node& engine, const std::string& name)
{
    const auto answer = harness::send(engine.caller, {"GET", "/stats", {}, {}});
    return answer.ok() ? nlohmann::json::parse(answer->body).value(name, std::uint64_t{0}) : 0;
}

} // namespace

deployment::deployment(int engines, const std::vector<std::string>& engine_flags, int applications)
{
    for (int index = 0; index < engines; ++index) {
        engines_.push_back("e" + std::to_string(index + 1));
        fleet_.start(harness::stand_in_settings{
            "engine", engines_.back(), domains.at(index % domains.size()), service, engine_flags});
    }
    for (int index = 0; index < applications; ++index) {
        applications_.push_back("a" + std::to_string(index + 1));
        fleet_.start(harness::stand_in_settings{"application",
                                                applications_.back(),
                                                domains.at(index % domains.size()),
                                                "dispatch",
                                                {"--service-ms", "200"}});
    }
    const std::vector<std::string> classes{"--class", "summary:generation:" + service,
                                           "--class", "berth:idempotent:dispatch",
                                           "--class", "departure:non_idempotent:dispatch"};
    fleet_.start(harness::daemon_settings{"d1", domains.front(), classes});
    fleet_.start(harness::daemon_settings{"d2", domains.back(), classes});
}

const core::address& deployment::daemon(const std::string& name) const
{
    return fleet_.at(name).caller;
}

std::string deployment::running_engine() const
{
    const auto found = std::ranges::find_if(engines_, [&](const std::string& engine) {
        return counter(fleet_.at(engine), "running") > 0;
    });
    REQUIRE(found != engines_.end());
    return *found;
}

std::uint64_t deployment::engine_total(const std::string& name) const
{
    return std::transform_reduce(
        engines_.begin(), engines_.end(), std::uint64_t{0}, std::plus{},
        [&](const std::string& engine) { return counter(fleet_.at(engine), name); });
}

std::uint64_t deployment::executions(const std::string& key) const
{
    return std::transform_reduce(
        applications_.begin(), applications_.end(), std::uint64_t{0}, std::plus{},
        [&](const std::string& application) {
            return fleet_.read(application, "/stats").at("executions").value(key, std::uint64_t{0});
        });
}

void deployment::wait_until_executed(const std::string& application, const std::string& key) const
{
    static_cast<void>(fleet_.read(application, "/executions/" + key));
}

void deployment::inject_fault_except(const std::string& except, const nlohmann::json& faults)
{
    for (const auto& engine : engines_) {
        if (engine != except) {
            fleet_.fault(engine, faults);
        }
    }
}

harness::generation_call summary(const std::string& prompt, std::uint64_t tokens)
{
    return {"wharf-key", "key of " + prompt, "summary", prompt, tokens};
}

void require_complete_answer(const harness::generation_caller& caller,
                             const harness::generation_call& call)
{
    const auto& answer = caller.answer();
    CHECK(answer.misplaced_events == 0);
    CHECK(answer.total == call.max_tokens);
    REQUIRE(answer.text == stand_ins::answer_text(call.prompt, call.max_tokens));
}

} // namespace ej::process_tests
