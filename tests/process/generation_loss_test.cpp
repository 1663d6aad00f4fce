#include "deployment.h"

#include <stand_ins/token_text.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>

#include <signal.h>

namespace ej::process_tests {

using harness::generation_caller;
using harness::stream_state;

TEST_CASE("a generation whose engine is killed delivers every token once")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    system.fleet().kill(system.running_engine());
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
}

TEST_CASE("an engine that is paused and continued adds no tokens to the answer")
{
    deployment system(2);
    const auto call = summary("bells of the night", 300);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    const auto engine = system.running_engine();
    system.fleet().signal(engine, SIGSTOP);
    REQUIRE(caller.read_until(caller.answer().tokens + 100) == stream_state::flowing);
    system.fleet().signal(engine, SIGCONT);
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
}

TEST_CASE("a silent engine connection is replaced without generating tokens again")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    system.fleet().fault(system.running_engine(), {{"silent", true}});
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
    CHECK(system.engine_total("tokens_generated") == 200);
    CHECK(system.engine_total("generations") == 1);
}

TEST_CASE("output resumed at a wrong offset or with other text is not delivered")
{
    const auto fault = GENERATE(as<std::string>{}, "wrong_offset", "other_text");
    deployment system(3);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    const auto engine = system.running_engine();
    system.inject_fault_except(engine, {{fault, true}});
    system.fleet().kill(engine);
    const auto state = caller.read_to_end();
    CHECK(state == stream_state::failed);
    CHECK(caller.answer().misplaced_events == 0);
    CHECK(caller.answer().text == stand_ins::answer_text(call.prompt, caller.answer().tokens));
}

TEST_CASE("a generation continues at another daemon when its engine and daemon die together")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    system.fleet().kill(system.running_engine());
    system.fleet().kill("d1");
    REQUIRE(caller.read_to_end(std::array{system.daemon("d2")}) == stream_state::ended);
    require_complete_answer(caller, call);
}

TEST_CASE("a caller whose daemon died resumes at another daemon and no token is generated twice")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    system.fleet().kill("d1");
    REQUIRE(caller.read_to_end(std::array{system.daemon("d2")}) == stream_state::ended);
    require_complete_answer(caller, call);
    CHECK(system.engine_total("tokens_generated") == 200);
    CHECK(system.engine_total("generations") == 1);
}

TEST_CASE(
    "a caller that resumes at another daemon while the first one is alive gets the whole answer")
{
    const bool first_is_paused = GENERATE(false, true);
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    if (first_is_paused) {
        system.fleet().signal("d1", SIGSTOP);
    }
    caller.disconnect();
    caller.resume(system.daemon("d2"));
    caller.read_until(60);
    system.fleet().signal("d1", SIGCONT);
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
}

TEST_CASE("a slow reader gets the whole answer when the engine dies during the stream")
{
    // More than the buffers between engine and caller hold.
    constexpr std::uint64_t tokens = 100'000;
    deployment system(2, {"--tokens-per-second", "200000"});
    const auto call = summary("bells of the night", tokens);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(1) == stream_state::flowing);
    const auto engine = system.running_engine();
    system.fleet().kill(engine);
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
}

} // namespace ej::process_tests
