#include <cbor/parse.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

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
    CHECK(parse(std::string(10'000'000, '\x81')).is_discarded());
}

TEST_CASE("arbitrary bytes are parsed or discarded as the library's own parser does")
{
    const bool holds = rc::check([] {
        auto bytes = bytes_of(json::array({4, "vm", 7, true, {{"x", 3}}, json::binary({1, 2})}));
        const auto changes = *rc::gen::inRange(1, 5);
        for (int change = 0; change < changes; ++change) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        const auto value = parse(bytes);
        json expected(json::value_t::discarded);
        try {
            expected = json::from_cbor(bytes, true, false);
        }
        catch (const json::exception&) { // An announced count that is too large.
        }
        RC_ASSERT(value.is_discarded() == expected.is_discarded());
        // Compared as bytes, since a number that is not finite is unequal to itself.
        if (!value.is_discarded()) {
            RC_ASSERT(bytes_of(value) == bytes_of(expected));
        }
    });
    CHECK(holds);
}

} // namespace ej::cbor
