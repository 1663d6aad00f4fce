#include <rollout/rollout_record.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

namespace ej::rollout {

TEST_CASE("a record round-trips as text")
{
    CHECK(rc::check("round trip", [] {
        rollout_record record;
        record.order = core::revision(*rc::gen::arbitrary<std::uint64_t>());
        record.target = core::version_id("v" + std::to_string(*rc::gen::inRange(1, 100)));
        record.phase =
            *rc::gen::element(rollout_phase::trial, rollout_phase::ramp, rollout_phase::handover,
                              rollout_phase::succeeded, rollout_phase::rolled_back);
        record.to_target = *rc::gen::inRange(0U, whole_share + 1);
        record.later = *rc::gen::inRange(0U, record.to_target + 1);
        record.until = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
        record.written = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
        record.reason = *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
        RC_ASSERT(parse_record(to_text(record)) == record);
    }));
}

TEST_CASE("text that is not a record is rejected")
{
    const std::string valid = "1\n7\ntrial\n100\n50\n4000\n10\nv2\nbegins";
    REQUIRE(parse_record(valid).has_value());
    for (const std::string& text :
         {std::string(), std::string("1"), "2" + valid.substr(1), valid + "\nmore",
          std::string("1\n7\ntrial\n1001\n50\n4000\n10\nv2\nbegins"),
          std::string("1\n7\ntrial\n50\n100\n4000\n10\nv2\nthe share would grow by itself"),
          std::string("1\n7\nodd\n100\n50\n4000\n10\nv2\nbegins"),
          std::string("1\n7\ntrial\n100\n50\n4000\n10\n\nbegins"),
          std::string("1\n-7\ntrial\n100\n50\n4000\n10\nv2\nbegins")}) {
        INFO(text);
        CHECK_FALSE(parse_record(text).has_value());
    }
}

TEST_CASE("a line break in a reason does not spoil the record")
{
    rollout_record record;
    record.target = core::version_id("v2");
    record.reason = "two\nlines";
    const auto read = parse_record(to_text(record));
    REQUIRE(read.has_value());
    CHECK(read->reason == "two lines");
}

} // namespace ej::rollout
