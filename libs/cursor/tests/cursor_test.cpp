#include <cursor/cursor_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace ej::cursor {

namespace {

const seal::secrets fleet_secrets{{{"0123456789abcdef"}}};
const seal::secrets other_fleet_secrets{{{"fedcba9876543210"}}};

} // namespace

TEST_CASE("an event id decodes to the cursor that it was created from")
{
    // Names come from settings and from the system: ASCII without control characters.
    const auto names = rc::gen::container<std::string>(rc::gen::inRange(' ', '\x7f'));
    rc::prop("round trip", [&](std::uint64_t attempt, std::uint64_t next, std::uint64_t text) {
        const auto workspace = *names;
        const auto request = *names;
        const attempt_location location{
            core::workspace_id(workspace), core::request_id(request),
            core::class_id("summaries"),   core::attempt_number(attempt),
            core::endpoint_id("engine-1"), {"127.0.0.1", 8080}};
        const cursor_codec codec(fleet_secrets);
        const auto id = cursor_codec::event_id(codec.seal_location(location),
                                               core::token_offset(next), core::digest(text));
        const stream_cursor expected{location, core::token_offset(next), core::digest(text)};
        RC_ASSERT(codec.open(id) == expected);
        RC_ASSERT(cursor_codec(other_fleet_secrets).open(id) == std::nullopt);
    });
}

TEST_CASE("a malformed, truncated or altered event id does not decode")
{
    const cursor_codec codec(fleet_secrets);
    const auto sealed = codec.seal_location({core::workspace_id("a"), core::request_id("r")});
    auto forged = sealed;
    forged[1] = forged[1] == 'A' ? 'B' : 'A';
    for (const auto& id : {std::string(), std::string("~~"), std::string("1~2~3"), sealed,
                           sealed + "~1", sealed + "~x~1", forged + "~1~2"}) {
        CHECK(codec.open(id) == std::nullopt);
    }
}

} // namespace ej::cursor
