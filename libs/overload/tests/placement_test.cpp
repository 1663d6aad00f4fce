#include <overload/memory_need.h>
#include <overload/placement_policy.h>

#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace ej::overload {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const forwarding::engine_profile profile{16, 55'000, 6, true};

forwarding::candidate engine(const std::string& name, std::uint64_t held, std::uint64_t unread = 0)
{
    forwarding::candidate made;
    made.what.name = core::endpoint_id(name);
    made.what.slots = profile.slots;
    made.stats.in_flight = static_cast<std::uint32_t>(held / 6'000);
    made.stats.tokens_held = held;
    made.stats.tokens_unread = unread;
    made.local = true;
    return made;
}

generation_demand demand()
{
    return {core::service_id("llm"),     core::workspace_id("w"), {5'200, 780}, start,
            start + milliseconds(4'500), start + seconds(25)};
}

placement_step placed(const std::vector<forwarding::candidate>& engines,
                      const generation_demand& asked = demand(), queue_state queue = {})
{
    const auto choice = forwarding::make_choice("first_output");
    return *make_placement("memory")->place(asked,
                                            {engines, profile, *choice, {}, queue, 0, start});
}

constexpr std::uint64_t full = 54'000;

} // namespace

TEST_CASE("a generation is sent to the engine that has the memory for it")
{
    const auto step = placed({engine("full", full), engine("free", 40'000)});
    CHECK(step.kind == placement_kind::send);
    CHECK(step.engine == 1);
}

TEST_CASE("a generation that fits at no engine waits at the daemon")
{
    CHECK(placed({engine("a", full), engine("b", full)}).kind == placement_kind::wait);
    const auto before = make_placement("at_once");
    const auto choice = forwarding::make_choice("first_output");
    const std::vector<forwarding::candidate> engines{engine("a", full)};
    CHECK(before->place(demand(), {engines, profile, *choice, {}, {}, 0, start})->kind ==
          placement_kind::send);
}

TEST_CASE("a target that no engine can meet turns no generation away from a short queue")
{
    auto hasty = demand();
    hasty.first_output_by = start + milliseconds(100);
    CHECK(placed({engine("a", 6'000, 5'000)}, hasty).kind == placement_kind::send);
    CHECK(placed({engine("a", 40'000, 40'000)}, hasty).kind == placement_kind::refuse);
}

TEST_CASE("a generation waits rather than run at an ejected engine unless all are ejected")
{
    auto ejected = engine("ejected", 0);
    ejected.stats.avoid_until = start + seconds(1);
    CHECK(placed({ejected, engine("full", full)}).kind == placement_kind::wait);
    CHECK(placed({ejected}).kind == placement_kind::send);
}

TEST_CASE("a generation that would miss its target is refused at once and told when to come back")
{
    const auto step = placed({engine("a", full)}, demand(), {59, 10, false});
    CHECK(step.kind == placement_kind::refuse);
    CHECK(step.come_back == seconds(6));
    // Its prompt would wait behind 50,000 others.
    const auto queued = placed({engine("a", 40'000, 50'000)});
    CHECK(queued.kind == placement_kind::refuse);
    CHECK(queued.come_back > seconds(4));
}

TEST_CASE("a generation is not refused while an engine reads no prompt")
{
    auto long_prompt = demand();
    long_prompt.size = {40'000, 500};
    CHECK(placed({engine("a", 0)}, long_prompt).kind == placement_kind::send);
}

TEST_CASE("a generation that may have run or was told to wait is not refused for its target")
{
    auto begun = demand();
    begun.may_have_run = true;
    CHECK(placed({engine("a", full)}, begun, {59, 10, false}).kind == placement_kind::wait);
    auto waiting = demand();
    waiting.waiting = true;
    CHECK(placed({engine("a", full)}, waiting, {59, 10, false}).kind == placement_kind::wait);
}

TEST_CASE("a generation that cannot end before its deadline is refused")
{
    auto late = demand();
    late.waiting = true;
    late.deadline = start + seconds(3);
    const std::vector<forwarding::candidate> engines{engine("a", full)};
    const auto choice = forwarding::make_choice("first_output");
    service_usage usage;
    usage.run_time = seconds(5);
    const auto step =
        make_placement("memory")->place(late, {engines, profile, *choice, usage, {}, 0, start});
    CHECK(step->kind == placement_kind::refuse);
}

TEST_CASE("a stream that has begun is resumed although no engine has room and others wait")
{
    auto resumed = demand();
    resumed.resumed = resumed.may_have_run = true;
    CHECK(placed({engine("a", full)}, resumed, {59, 10, true}).kind == placement_kind::send);
}

TEST_CASE("a new generation does not overtake those that wait")
{
    CHECK(placed({engine("a", 0)}, demand(), {1, 10, true}).kind == placement_kind::wait);
}

TEST_CASE("a declared size that cannot be true reserves at most one engine")
{
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    CHECK(memory_need({most, most}, {}, profile) == profile.memory_tokens);
    CHECK(memory_need({5'000, 1'000'000'000'000}, {}, profile) == profile.memory_tokens);
    CHECK(memory_need({}, {}, profile) == profile.memory_tokens / profile.slots);
    CHECK(memory_need({5'000, 1'000}, {0.5, 1, {}}, profile) == 5'500);
    CHECK(memory_need({}, {}, {}) == 0);
    auto huge = demand();
    huge.size = {most, most};
    CHECK(placed({engine("a", 0)}, huge).kind == placement_kind::send);
    CHECK(placed({engine("a", 6'000)}, huge).kind == placement_kind::wait);
}

} // namespace ej::overload
