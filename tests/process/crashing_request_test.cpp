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

constexpr int innocents = 6;
constexpr int sent_again = 6;
constexpr std::ptrdiff_t engines_lost_at_most = 2;

void start_beside(deployment& system, std::vector<harness::generation_call>& calls,
                  std::vector<generation_caller>& callers)
{
    for (int index = 0; index < innocents; ++index) {
        calls.push_back(summary("log " + std::to_string(index), 200));
        callers.emplace_back(calls.back());
        callers.back().start(system.daemon("d1"));
        REQUIRE(callers.back().read_until(5) == stream_state::flowing);
    }
}

void send_again_and_again(deployment& system, const harness::generation_call& poison)
{
    for (int round = 0; round < sent_again; ++round) {
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

TEST_CASE("a prompt that crashes engines takes few with it and no answer beside it")
{
    deployment system(6);
    system.fault_others("", {{"crash_on_prompt", "poison"}});
    std::vector<harness::generation_call> calls;
    std::vector<generation_caller> beside;
    start_beside(system, calls, beside);
    send_again_and_again(system, summary("poison", 100));
    CHECK(engines_lost(system) >= 1);
    CHECK(engines_lost(system) <= engines_lost_at_most);
    for (std::size_t index = 0; index < beside.size(); ++index) {
        CHECK(beside.at(index).read_to_end() == stream_state::ended);
        require_whole(beside.at(index), calls.at(index));
    }
}

} // namespace ej::process_tests
