#include <http/answer_deadline.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>

namespace ej::http {

namespace {

using namespace std::chrono_literals;

const core::instant header_at{10s};
constexpr body_pace pace{1s, 1'000};
const answer_deadline slow(header_at, pace);

} // namespace

TEST_CASE("a call without a pace has one deadline for its whole answer")
{
    const answer_deadline whole(header_at, std::nullopt);
    CHECK(whole.for_header() == header_at);
    CHECK(whole.for_body(header_at - 1s, 1'000'000, header_at - 500ms) == header_at);
}

TEST_CASE("a body that stops is waited for as long as its pace allows silence")
{
    CHECK(slow.for_body(header_at, 0, header_at) == header_at + 1s);
    CHECK(slow.for_body(header_at, 50'000, header_at + 20s) == header_at + 21s);
}

TEST_CASE("a body that arrives byte by byte is given up like one that stops")
{
    CHECK(slow.for_body(header_at, 1, header_at + 900ms) <= header_at + 1'001ms);
    CHECK(slow.for_body(header_at, 2, header_at + 1'001ms) <= header_at + 1'002ms);
}

TEST_CASE("a body at or above its pace is always given time and never more than its size allows")
{
    rc::prop("for any arrival", [] {
        const auto received = *rc::gen::inRange<std::size_t>(0, 4'000'000);
        const auto due = header_at + 1ms * received; // At exactly 1000 bytes a second.
        const auto now = due - 1ms * *rc::gen::inRange<std::size_t>(0, received + 1);
        const auto until = slow.for_body(header_at, received, now);
        RC_ASSERT(until > now);
        RC_ASSERT(until <= now + pace.silence);
        RC_ASSERT(until <= due + pace.silence);
    });
}

} // namespace ej::http
