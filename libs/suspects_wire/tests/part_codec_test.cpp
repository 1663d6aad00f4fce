#include <suspects_wire/death_codec.h>
#include <suspects_wire/part_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ej::suspects_wire {

namespace {

using std::chrono::milliseconds;

std::string any_name()
{
    // CBOR strings must be UTF-8; names are printable ASCII.
    return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
}

std::vector<suspects::part_digest> any_parts()
{
    const auto drawn = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    std::vector<suspects::part_digest> parts;
    for (const std::uint64_t one : std::set<std::uint64_t>(drawn.begin(), drawn.end())) {
        parts.emplace_back(one);
    }
    return parts;
}

template <class Message>
bool round_trips(const Message& message)
{
    const auto read = decode_part(encode(message));
    return read.ok() && std::get<Message>(*read) == message;
}

} // namespace

TEST_CASE("messages about parts of prompts round-trip")
{
    CHECK(rc::check("a death", [] {
        RC_ASSERT(round_trips(
            suspects::part_death{{core::endpoint_id(any_name()), core::incarnation_id(any_name())},
                                 core::failure_domain_id(any_name()),
                                 any_parts()}));
    }));
    CHECK(rc::check("held parts", [] {
        suspects::held_parts held;
        for (const suspects::part_digest part : any_parts()) {
            held.parts.push_back({part, *rc::gen::arbitrary<std::uint32_t>(),
                                  milliseconds(*rc::gen::inRange(0, 3'600'000)),
                                  milliseconds(*rc::gen::inRange(0, 3'600'000))});
        }
        RC_ASSERT(round_trips(held));
    }));
    CHECK(rc::check("cleared parts",
                    [] { RC_ASSERT(round_trips(suspects::cleared_parts{any_parts()})); }));
}

TEST_CASE("damaged messages about parts are rejected or decode to a valid message")
{
    CHECK(rc::check("any bytes, and a valid message with one byte changed", [] {
        const auto any = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        RC_ASSERT(!decode_part(any).ok() || !any.empty());
        auto bytes = encode(suspects::held_parts{
            {{suspects::part_digest(7), 1, milliseconds(2'000), milliseconds(300)}}});
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^=
            static_cast<std::uint8_t>(*rc::gen::inRange(1, 256));
        const auto read = decode_part(bytes);
        if (read.ok()) {
            const auto again = std::visit([](const auto& one) { return encode(one); }, *read);
            RC_ASSERT(decode_part(again).ok());
        }
    }));
}

TEST_CASE("a time that would overflow the clock is rejected")
{
    // [7, [[7, 0, 2^63, 0]]]
    const std::vector<std::uint8_t> bytes{0x82, 0x07, 0x81, 0x84, 0x07, 0x00, 0x1b, 0x80,
                                          0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
    CHECK_FALSE(decode_part(bytes).ok());
}

TEST_CASE("a build that knows only deaths of requests rejects messages about parts, and reverse")
{
    const suspects::part_death seen{{core::endpoint_id("e"), core::incarnation_id("1")},
                                    core::failure_domain_id("d"),
                                    {suspects::part_digest(7)}};
    CHECK_FALSE(decode_death(encode(seen)).ok());
    CHECK_FALSE(decode_part(encode(suspects::death_record{
                                {core::endpoint_id("e"), core::incarnation_id("1")},
                                {suspects::request_digest(7)}}))
                    .ok());
}

} // namespace ej::suspects_wire
