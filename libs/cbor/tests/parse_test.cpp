#include <cbor/parse.h>

#include "indefinite_strings.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ej::cbor {

namespace {

using nlohmann::json;

std::string bytes_of(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json nested(std::size_t levels)
{
    json value = 1;
    for (std::size_t level = 0; level < levels; ++level) {
        value = json::array({std::move(value)});
    }
    return value;
}

using octets = std::vector<std::uint8_t>;

json parsed(const octets& message)
{
    return parse(message.data(), message.size());
}

/// The result of the library's own parser, which throws for an announced count that is too large.
json library_result(const std::string& bytes)
{
    try {
        return json::from_cbor(bytes, true, false);
    }
    catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

} // namespace

TEST_CASE("a value is unchanged after encoding and parsing")
{
    const json value{{"a", {1, -2, 0.5, true, nullptr, "text"}},
                     {"b", {{"c", json::array()}, {"d", json::object()}}},
                     {"e", json::binary({1, 2, 255})},
                     {"f", 18'446'744'073'709'551'615U}};
    CHECK(parse(bytes_of(value)) == value);
}

TEST_CASE("a value is parsed up to the depth limit and discarded beyond it")
{
    CHECK(parse(bytes_of(nested(max_depth))) == nested(max_depth));
    CHECK(parse(bytes_of(nested(max_depth + 1))).is_discarded());
    constexpr std::size_t many = 10'000'000;
    CHECK(parse(std::string_view(std::vector<char>(many, '\x81').data(), many)).is_discarded());
}

TEST_CASE("arbitrary bytes are parsed or discarded as the library's own parser does")
{
    const bool holds = rc::check([] {
        auto bytes = bytes_of(json::array({4, "vm", 7, true, {{"x", 3}}, json::binary({1, 2})}));
        const auto changes = *rc::gen::inRange(1, 5);
        for (int change = 0; change < changes; ++change) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        const std::span octets(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
        RC_PRE(!has_indefinite_string(octets));
        const auto value = parse(bytes);
        const json expected = library_result(bytes);
        RC_ASSERT(value.is_discarded() == expected.is_discarded());
        // Compared as bytes, since a number that is not finite is unequal to itself.
        if (!value.is_discarded()) {
            RC_ASSERT(bytes_of(value) == bytes_of(expected));
        }
    });
    CHECK(holds);
}

TEST_CASE("a message that announces a size beyond any memory is rejected")
{
    CHECK(parsed(octets{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf0}).is_discarded());
    CHECK(parsed(octets{0xbb, 0x84, 0x07, 0x00, 0x1b, 0x80, 0x00, 0x00, 0x00}).is_discarded());
    CHECK(parsed(octets{0x9a, 0x00, 0xff, 0xff, 0xff}).is_discarded());
}

TEST_CASE("a message that is nested as deeply as a datagram allows is rejected")
{
    constexpr std::size_t longest_datagram = 65'507;
    constexpr std::uint8_t array_of_one = 0x81;
    CHECK(parsed(octets(longest_datagram, array_of_one)).is_discarded());
    constexpr std::uint8_t array_of_unknown_size = 0x9f;
    CHECK(parsed(octets(longest_datagram, array_of_unknown_size)).is_discarded());
}

TEST_CASE("any bytes are parsed or rejected without an exception")
{
    rc::prop("any bytes", [] {
        const auto any = *rc::gen::arbitrary<octets>();
        static_cast<void>(parsed(any));
    });
}

TEST_CASE("a valid message is parsed and one with a surplus byte is rejected")
{
    const json value{7, {{1, 2}, {"text", 3.5, nullptr}}, {{"key", true}}};
    auto encoded = json::to_cbor(value);
    CHECK(parsed(encoded) == value);
    encoded.push_back(0);
    CHECK(parsed(encoded).is_discarded());
}

TEST_CASE("a string without a length is rejected however many are nested")
{
    constexpr std::size_t longest_datagram = 65'507;
    constexpr std::uint8_t text_without_length = 0x7f;
    constexpr std::uint8_t bytes_without_length = 0x5f;
    constexpr std::uint8_t empty_text = 0x60;
    CHECK(parsed(octets(longest_datagram, text_without_length)).is_discarded());
    CHECK(parsed(octets(longest_datagram, bytes_without_length)).is_discarded());
    octets alternating(longest_datagram, text_without_length);
    for (std::size_t place = 1; place < alternating.size(); place += 2) {
        alternating[place] = empty_text;
    }
    CHECK(parsed(alternating).is_discarded());
    CHECK(parsed({0x82, 0x01, text_without_length, empty_text, 0xff}).is_discarded());
}

TEST_CASE("bytes that look like a head within a string do not reject it")
{
    const json value{"\x7f_", json::binary({0x7f, 0x5f}), 0x7f};
    CHECK(parsed(json::to_cbor(value)) == value);
}

} // namespace ej::cbor
