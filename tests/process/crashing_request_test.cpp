#include "deployment.h"

#include <harness/http_client.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace ej::process_tests {

using harness::generation_caller;
using harness::stream_state;

namespace {

constexpr int concurrent_calls = 6;
constexpr int poison_repeats = 6;
constexpr std::ptrdiff_t max_engines_lost = 2;

void start_concurrent_calls(deployment& system, std::vector<harness::generation_call>& calls,
                            std::vector<generation_caller>& callers)
{
    for (int index = 0; index < concurrent_calls; ++index) {
        calls.push_back(summary("log " + std::to_string(index), 200));
        callers.emplace_back(calls.back());
        callers.back().start(system.daemon("d1"));
        REQUIRE(callers.back().read_until(5) == stream_state::flowing);
    }
}

void repeat_poison_call(deployment& system, const harness::generation_call& poison)
{
    for (int round = 0; round < poison_repeats; ++round) {
        generation_caller caller(poison);
        caller.start(system.daemon(round % 2 == 0 ? "d1" : "d2"));
        CHECK(caller.read_to_end() == stream_state::failed);
    }
}

std::ptrdiff_t engines_lost(deployment& system)
{
    return std::ranges::count_if(system.engines(), [&](const auto& engine) {
        return !harness::send(system.fleet().at(engine).caller, {"GET", "/load", {}, {}}).ok();
    });
}

} // namespace

TEST_CASE(
    "a prompt that crashes engines kills at most two and concurrent generations still complete")
{
    deployment system(6);
    system.inject_fault_except("", {{"crash_on_prompt", "poison"}});
    std::vector<harness::generation_call> calls;
    std::vector<generation_caller> concurrent;
    start_concurrent_calls(system, calls, concurrent);
    repeat_poison_call(system, summary("poison", 100));
    CHECK(engines_lost(system) >= 1);
    CHECK(engines_lost(system) <= max_engines_lost);
    for (std::size_t index = 0; index < concurrent.size(); ++index) {
        CHECK(concurrent.at(index).read_to_end() == stream_state::ended);
        require_complete_answer(concurrent.at(index), calls.at(index));
    }
}

} // namespace ej::process_tests
