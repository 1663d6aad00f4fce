#include "deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <signal.h>

namespace ej::process_tests {

using harness::generation_caller;
using harness::stream_state;

TEST_CASE("a daemon that gets SIGTERM twice finishes its streams before it exits")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller caller(call);
    caller.start(system.daemon("d1"));
    REQUIRE(caller.read_until(20) == stream_state::flowing);
    system.fleet().signal("d1", SIGTERM);
    REQUIRE(caller.read_until(60) == stream_state::flowing);
    system.fleet().signal("d1", SIGTERM);
    system.fleet().kill(system.running_engine());
    REQUIRE(caller.read_to_end() == stream_state::ended);
    require_complete_answer(caller, call);
    CHECK(system.fleet().wait("d1") == 0);
}

} // namespace ej::process_tests
