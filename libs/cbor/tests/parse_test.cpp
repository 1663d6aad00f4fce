#include <cbor/parse.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::cbor {

namespace {

using bytes = std::vector<std::uint8_t>;

nlohmann::json parsed(const bytes& message)
{
    return parse(message.data(), message.data() + message.size());
}

} // namespace

TEST_CASE("a message that announces a size beyond any memory is rejected")
{
    CHECK(parsed(bytes{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf0}).is_discarded());
    CHECK(parsed(bytes{0xbb, 0x84, 0x07, 0x00, 0x1b, 0x80, 0x00, 0x00, 0x00}).is_discarded());
    CHECK(parsed(bytes{0x9a, 0x00, 0xff, 0xff, 0xff}).is_discarded());
}

TEST_CASE("a message that is nested as deeply as a datagram allows is rejected")
{
    constexpr std::size_t longest_datagram = 65'507;
    constexpr std::uint8_t array_of_one = 0x81;
    CHECK(parsed(bytes(longest_datagram, array_of_one)).is_discarded());
    constexpr std::uint8_t array_of_unknown_size = 0x9f;
    CHECK(parsed(bytes(longest_datagram, array_of_unknown_size)).is_discarded());
}

TEST_CASE("any bytes are parsed or rejected without an exception")
{
    rc::prop("any bytes", [] {
        const auto any = *rc::gen::arbitrary<bytes>();
        static_cast<void>(parsed(any));
    });
}

TEST_CASE("a valid message is parsed and one with a surplus byte is rejected")
{
    const nlohmann::json value{7, {{1, 2}, {"text", 3.5, nullptr}}, {{"key", true}}};
    auto encoded = nlohmann::json::to_cbor(value);
    CHECK(parsed(encoded) == value);
    encoded.push_back(0);
    CHECK(parsed(encoded).is_discarded());
}

} // namespace ej::cbor
