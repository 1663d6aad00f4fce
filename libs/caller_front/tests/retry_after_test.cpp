#include "retry_after.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr std::string_view name = "Retry-After";

std::optional<core::duration> delay_of(const std::vector<std::string>& values)
{
    std::vector<http::header> fields{{"Content-Length", "7"}};
    for (const std::string& value : values) {
        fields.push_back({"retry-after", value});
    }
    const auto parsed = retry_after_of(fields, name);
    return parsed ? std::optional(parsed->delay) : std::nullopt;
}

} // namespace

TEST_CASE("a Retry-After in seconds is read with its fraction")
{
    CHECK(delay_of({"2"}) == seconds(2));
    CHECK(delay_of({" 1.5\t"}) == milliseconds(1'500));
    CHECK(delay_of({"0.05"}) == milliseconds(50));
    CHECK(delay_of({".25"}) == milliseconds(250));
    CHECK(delay_of({"3."}) == seconds(3));
    CHECK(delay_of({"007"}) == seconds(7));
}

TEST_CASE("a Retry-After that is no positive number of seconds asks for no delay")
{
    const auto* const value =
        GENERATE("", " ", ".", "0", "0.0", "-1", "+1", "1e3", "0x10", "inf", "nan", "1.2.3", "2s",
                 "1 2", "soon", "Sun, 06 Nov 1994 08:49:37 GMT", "0.00000000000000000001");
    INFO(value);
    CHECK_FALSE(delay_of({value}));
    CHECK_FALSE(delay_of({}));
}

TEST_CASE("a Retry-After beyond the longest delay is cut to it")
{
    CHECK(delay_of({"3600"}) == retry_after::longest);
    CHECK(delay_of({"1000000000000"}) == retry_after::longest);
    CHECK(delay_of({std::string(400, '9')}) == retry_after::longest);
    CHECK(delay_of({std::string(400, '9') + ".5"}) == retry_after::longest);
    CHECK_FALSE(delay_of({"0." + std::string(400, '0') + "1"}));
}

TEST_CASE("the longest of several Retry-After values counts")
{
    CHECK(delay_of({"1", "3", "2"}) == seconds(3));
    CHECK(delay_of({"1, 4", "2"}) == seconds(4));
    CHECK(delay_of({"-5", "2", "later"}) == seconds(2));
    CHECK_FALSE(delay_of({"-5", "later"}));
}

TEST_CASE("any text asks for no delay or for one within the bounds")
{
    const bool holds = rc::check([] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('0', '1', '9', '.', '-', '+', 'e', ',', ' ', 'n'));
        const auto delay = delay_of({text});
        RC_ASSERT(!delay || (*delay > nanoseconds(0) && *delay <= retry_after::longest));
    });
    CHECK(holds);
}

} // namespace ej::front
