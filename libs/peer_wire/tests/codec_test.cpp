#include "../../membership/tests/entries.h"

#include <peer_wire/codec.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

namespace ej::peer_wire {

namespace {

using nlohmann::json;

std::string cbor(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<message> read_back(const message& value)
{
    core::findings faults;
    auto copy = parse_message(encode(value), faults);
    REQUIRE(faults.empty());
    return copy;
}

} // namespace

TEST_CASE("messages between daemons round-trip")
{
    rc::prop("deltas", [](const std::vector<membership::member_entry>& members,
                          const std::vector<membership::endpoint_entry>& endpoints,
                          const std::vector<membership::domain_summary>& summaries) {
        const message sent = membership::delta{members, endpoints, summaries};
        RC_ASSERT(read_back(sent) == sent);
    });
    rc::prop("opaque payloads and digests",
             [](const std::string& payload, std::uint64_t hash, bool wanted) {
                 const message sent = opaque_message{message_kind::action_forward, payload};
                 RC_ASSERT(read_back(sent) == sent);
                 membership::digest_table table;
                 table.members = hash;
                 table.endpoints.back() = ~hash;
                 table.answer_wanted = wanted;
                 RC_ASSERT(read_back(table) == message(table));
             });
}

TEST_CASE("unknown fields, kinds and versions are ignored without a fault")
{
    core::findings faults;
    auto object = json::from_cbor(encode(membership::delta{}));
    object["later"] = {1, 2};
    object["b"]["later"] = true;
    CHECK(parse_message(cbor(object), faults) == message(membership::delta{}));
    object["k"] = 1'000;
    CHECK(parse_message(cbor(object), faults) == std::nullopt);
    object["k"] = 1;
    object["v"] = 2;
    CHECK(parse_message(cbor(object), faults) == std::nullopt);
    CHECK(faults.empty());
}

TEST_CASE("every fault of a message is reported with its place")
{
    core::findings faults;
    const json entry = {{"n", 7}, {"s", 9}, {"w", {{"h", "::1"}, {"p", 70'000}}}};
    const auto bytes = cbor({{"v", 1}, {"k", 1}, {"b", {{"m", {entry}}, {"e", 1}}}});
    CHECK(parse_message(bytes, faults) == std::nullopt);
    std::vector<std::string> places;
    for (const auto& fault : faults.list()) {
        places.push_back(fault.place);
    }
    CHECK(places ==
          std::vector<std::string>{"b.m[0].n", "b.m[0].s", "b.m[0].d", "b.m[0].w.p", "b.e"});
}

TEST_CASE("changed or truncated bytes are parsed or rejected without a crash")
{
    rc::prop("any change or truncation", [](const std::vector<membership::endpoint_entry>& entries,
                                            std::size_t at, char change) {
        core::findings faults;
        auto bytes = encode(membership::delta{{}, entries, {}});
        (void)parse_message(bytes.substr(0, at % bytes.size()), faults);
        bytes[at % bytes.size()] = change;
        (void)parse_message(bytes, faults);
    });
}

} // namespace ej::peer_wire
