#include <overload/step_before.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

namespace ej::overload {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const forwarding::engine_profile profile{16, 55'000, 6, true};
const placement_step to_first{placement_kind::send, 0, seconds(1), {}};
const placement_step to_wait{placement_kind::wait, 0, {}, {}};

forwarding::candidate engine(double slowness)
{
    forwarding::candidate made;
    made.stats.slowness = slowness;
    return made;
}

generation_demand demand()
{
    generation_demand made;
    made.size = {5'000, 780};
    made.arrived = start;
    return made;
}

/// The step before `end` with engines of these speeds.
placement_kind kind_before(core::instant end, const placement_step& step,
                           const std::vector<forwarding::candidate>& engines,
                           const generation_demand& asked, service_usage usage = {},
                           queue_state queue = {})
{
    const auto choice = forwarding::make_choice("first_output");
    return step_before(end, step, asked, {engines, profile, *choice, usage, queue, 0, start}).kind;
}

} // namespace

TEST_CASE("a generation that would outlast its daemon is too late, by its engine's pace")
{
    // About 1 s for the prompt and 4 s for the output at nominal speed.
    CHECK(kind_before(start + seconds(7), to_first, {engine(1)}, demand()) == placement_kind::send);
    CHECK(kind_before(start + seconds(4), to_first, {engine(1)}, demand()) ==
          placement_kind::too_late);
    CHECK(kind_before(start + seconds(7), to_first, {engine(2)}, demand()) ==
          placement_kind::too_late);
    CHECK(kind_before(core::instant::max(), to_first, {engine(8)}, demand()) ==
          placement_kind::send);
}

TEST_CASE("a generation that would outlast its daemon is too late, by the pace of running streams")
{
    service_usage usage;
    usage.run_time = seconds(5); // Of streams that ended before the load rose.
    usage.token_time = milliseconds(11);
    CHECK(kind_before(start + seconds(9), to_first, {engine(1)}, demand(), usage) ==
          placement_kind::too_late);
    CHECK(kind_before(start + seconds(12), to_first, {engine(1)}, demand(), usage) ==
          placement_kind::send);
}

TEST_CASE("a generation that would outlast its daemon is too late, by the run times of others")
{
    service_usage usage;
    usage.run_time = seconds(7);
    usage.run_deviation = milliseconds(600);
    CHECK(kind_before(start + seconds(8), to_first, {engine(1)}, demand(), usage) ==
          placement_kind::too_late);
    CHECK(kind_before(start + seconds(9), to_first, {engine(1)}, demand(), usage) ==
          placement_kind::send);
}

TEST_CASE("a generation that waits is too late if no engine could end it behind the queue")
{
    const queue_state queue{5, 3, false}; // 2 s.
    const std::vector<forwarding::candidate> engines{engine(3), engine(1)};
    CHECK(kind_before(start + milliseconds(7'500), to_wait, engines, demand(), {}, queue) ==
          placement_kind::too_late);
    CHECK(kind_before(start + seconds(9), to_wait, engines, demand(), {}, queue) ==
          placement_kind::wait);
}

TEST_CASE("a generation that may have run or was begun is not too late")
{
    auto begun = demand();
    begun.may_have_run = true;
    CHECK(kind_before(start, to_first, {engine(1)}, begun) == placement_kind::send);
    auto resumed = demand();
    resumed.resumed = true;
    CHECK(kind_before(start, to_first, {engine(1)}, resumed) == placement_kind::send);
}

} // namespace ej::overload
