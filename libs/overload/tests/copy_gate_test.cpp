#include <overload/copy_gate.h>
#include <overload/look_interval.h>
#include <overload/usage_history.h>
#include <overload/waiting_counts.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace ej::overload {

namespace {

using std::chrono::milliseconds;

const forwarding::engine_profile profile{16, 50'000, 6, true};

std::vector<forwarding::candidate> engines(std::uint64_t own, std::uint64_t others)
{
    forwarding::candidate one;
    one.stats.tokens_held = own;
    one.stats.others_tokens_held = others;
    return {one, one};
}

} // namespace

TEST_CASE("copies yield when memory becomes scarce and come back when half of it is free")
{
    copy_gate gate;
    CHECK(gate.admits(engines(20'000, 15'000), profile));
    CHECK_FALSE(gate.admits(engines(25'000, 16'000), profile));
    // Between the thresholds, the gate stays as it was.
    CHECK_FALSE(gate.admits(engines(20'000, 15'000), profile));
    CHECK(gate.admits(engines(10'000, 15'000), profile));
    CHECK(gate.admits({}, profile));
}

TEST_CASE("a copy is kept only where it leaves room for generations")
{
    CHECK(copy_gate::has_room(engines(30'000, 0).front(), 6'000, profile));
    CHECK_FALSE(copy_gate::has_room(engines(20'000, 20'000).front(), 6'000, profile));
}

TEST_CASE("the forecast follows engines that are slower than the data sheet")
{
    usage_history history;
    const core::service_id service("llm");
    for (int number = 0; number < 100; ++number) {
        const double ratio = history.of(service).read_ratio;
        const auto forecast =
            std::chrono::duration_cast<core::duration>(milliseconds(1'000) * ratio);
        history.record_first_output(service, forecast, milliseconds(1'500));
    }
    CHECK(history.of(service).read_ratio == Approx(1.5).margin(0.05));
    history.record_first_output(service, core::duration(), std::chrono::hours(1));
    CHECK(history.of(service).read_ratio < 2);
}

TEST_CASE("the memory need follows what streams produce of their declared output")
{
    usage_history history;
    const core::service_id service("llm");
    for (int number = 0; number < 100; ++number) {
        history.record_stream(service, {5'000, 1'000}, 700, milliseconds(6'000));
    }
    CHECK(history.of(service).output_share == Approx(0.7).margin(0.02));
    CHECK(history.of(service).run_time == milliseconds(6'000));
}

TEST_CASE("daemons look for places the less often the more of them there are")
{
    const auto mean = [](std::size_t daemons) {
        core::duration sum{};
        for (std::uint64_t draw = 0; draw < 256; ++draw) {
            sum += look_interval(daemons, draw);
        }
        return sum / 256;
    };
    CHECK(mean(9) > mean(1));
    CHECK(mean(30) > mean(9));
    CHECK(mean(1'200) <= milliseconds(250));
}

TEST_CASE("waiting generations are counted by service")
{
    waiting_counts counts;
    const core::service_id service("llm");
    counts.add(service);
    counts.add(service);
    counts.remove(service);
    counts.remove(core::service_id("other"));
    CHECK(counts.of(service) == 1);
    counts.remove(service);
    CHECK(counts.of(service) == 0);
}

} // namespace ej::overload
