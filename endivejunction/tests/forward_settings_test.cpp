#include "parse_forward_settings.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej {

namespace {

forward_settings parse(const std::vector<std::string>& more, core::findings& faults)
{
    std::vector<std::string> arguments{"--vm", "vm-1",    "--failure-domain",
                                       "z1",   "--store", "127.0.0.1:9000"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return parse_forward_settings(arguments, faults);
}

} // namespace

TEST_CASE("callers get a quarter of the memory, and a connection for 64 KB of it at most")
{
    core::findings faults;
    const auto small = parse({"--memory-mb", "112"}, faults);
    INFO(faults.status());
    REQUIRE(faults.empty());
    constexpr std::size_t quarter = std::size_t{28} << 20;
    CHECK(small.front.caller_memory == quarter);
    CHECK(small.front.max_callers >= 1);
    CHECK(small.front.max_callers <= quarter >> 16);
}

TEST_CASE("a given number of callers' connections is taken, one that is too large is a fault")
{
    core::findings faults;
    CHECK(parse({"--max-callers", "17"}, faults).front.max_callers == 17);
    CHECK(faults.empty());
    static_cast<void>(parse({"--max-callers", "1000001"}, faults));
    CHECK_FALSE(faults.empty());
}

TEST_CASE("the limits of a new version are taken, and a share above 1 is a fault")
{
    core::findings faults;
    CHECK(parse({}, faults).front.rollouts == rollout::rollout_limits{0.1, 50});
    CHECK(parse({"--rollout-share", "0.02", "--rollout-requests", "7"}, faults).front.rollouts ==
          rollout::rollout_limits{0.02, 7});
    CHECK(faults.empty());
    static_cast<void>(parse({"--rollout-share", "1.5"}, faults));
    CHECK_FALSE(faults.empty());
}

} // namespace ej
