#include <rollout_wire/rollout_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace ej::rollout_wire {

namespace {

rollout::latency_counts any_latencies()
{
    rollout::latency_counts counts;
    counts.count.at(*rc::gen::inRange<std::size_t>(0, rollout::latency_counts::buckets)) =
        *rc::gen::arbitrary<std::uint32_t>();
    return counts;
}

rollout::answer_counts any_counts()
{
    return {*rc::gen::arbitrary<std::uint32_t>(), any_latencies(), any_latencies(),
            any_latencies()};
}

rollout::rollout_report any_report()
{
    rollout::rollout_report report;
    report.from = core::vm_id("vm-1");
    report.start = *rc::gen::arbitrary<std::uint64_t>();
    report.number = *rc::gen::arbitrary<std::uint64_t>();
    report.service = core::service_id("llm");
    report.order = core::revision(*rc::gen::arbitrary<std::uint64_t>());
    report.to_target = *rc::gen::inRange(0U, rollout::whole_share + 1);
    report.runs_elsewhere = *rc::gen::arbitrary<std::uint32_t>();
    const int routes = *rc::gen::inRange(0, 5);
    for (int route = 0; route < routes; ++route) {
        report.answers["r" + std::to_string(route)] = {any_counts(), any_counts()};
    }
    return report;
}

} // namespace

TEST_CASE("a report and a verdict on a roll-out round-trip")
{
    CHECK(rc::check("report", [] {
        const auto report = any_report();
        const auto read = decode_rollout(encode(report));
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == rollout_message(report));
    }));
    const rollout::rollout_verdict verdict{core::service_id("llm"), core::revision(7)};
    const auto read = decode_rollout(encode(verdict));
    REQUIRE(read.ok());
    CHECK(*read == rollout_message(verdict));
}

TEST_CASE("odd bytes are no message about a roll-out")
{
    rollout::rollout_report report;
    report.answers["r"].target = {1, {}, {}, {}};
    const auto valid = encode(report);
    CHECK(rc::check("one byte changed", [&] {
        auto bytes = valid;
        bytes.at(*rc::gen::inRange<std::size_t>(0, bytes.size())) =
            *rc::gen::arbitrary<std::uint8_t>();
        const auto read = decode_rollout(bytes);
        if (read.ok()) {
            const auto again = std::visit([](const auto& one) { return encode(one); }, *read);
            RC_ASSERT(decode_rollout(again).ok());
        }
    }));
    CHECK_FALSE(decode_rollout(std::span(valid).first(valid.size() - 1)).ok());
}

} // namespace ej::rollout_wire
