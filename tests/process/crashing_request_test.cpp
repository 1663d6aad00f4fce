#include "deployment.h"

#include <harness/http_client.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace ej::process_tests {

using harness::generation_caller;
using harness::stream_state;

TEST_CASE("a prompt that crashes engines takes few with it and no answer beside it")
{
    constexpr int innocents = 6;
    constexpr int sent_again = 6;
    constexpr std::ptrdiff_t engines_lost_at_most = 2;
    deployment system(6);
    for (const auto& engine : system.engines()) {
        system.fleet().fault(engine, {{"crash_on_prompt", "poison"}});
    }
    std::vector<harness::generation_call> calls;
    std::vector<generation_caller> beside;
    for (int index = 0; index < innocents; ++index) {
        calls.push_back(summary("log " + std::to_string(index), 200));
        beside.emplace_back(calls.back());
        beside.back().start(system.daemon("d1"));
        REQUIRE(beside.back().read_until(5) == stream_state::flowing);
    }
    const auto poison = summary("poison", 100);
    for (int round = 0; round < sent_again; ++round) {
        generation_caller caller(poison);
        caller.start(system.daemon(round % 2 == 0 ? "d1" : "d2"));
        CHECK(caller.read_to_end() == stream_state::failed);
    }
    for (int index = 0; index < innocents; ++index) {
        CHECK(beside.at(index).read_to_end() == stream_state::ended);
        require_whole(beside.at(index), calls.at(index));
    }
    const auto lost = std::ranges::count_if(system.engines(), [&](const auto& engine) {
        return !harness::send(system.fleet().at(engine).caller, {"GET", "/load", {}, {}}).ok();
    });
    CHECK(lost >= 1);
    CHECK(lost <= engines_lost_at_most);
}

} // namespace ej::process_tests
