#include <actions_wire/action_digests.h>
#include <actions_wire/claim_bucket_codec.h>
#include <actions_wire/ticket_codec.h>

#include <actions/claim_limits.h>

#include <catch2/catch.hpp>

#include <limits>

namespace ej::actions_wire {

namespace {

const seal::secrets keys{{{"a secret of the fleet"}}};
const actions::owner test_owner{core::incarnation_id("5f3a9c1e77d20b46"), {"127.0.0.1", 65'000}};
constexpr std::size_t largest_value_bytes = 1'000'000;
constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();

} // namespace

TEST_CASE("a sealed ticket opens to the same ticket, and any other text is rejected")
{
    const ticket_codec codec(keys);
    const actions::ticket issued{core::workspace_id("w"), core::class_id("departure"), test_owner,
                                 actions::ticket_number(7), std::chrono::milliseconds(5)};
    CHECK(codec.open(codec.seal(issued)) == issued);
    CHECK(!codec.open("booking-4711"));
    CHECK(!ticket_codec({{{"a secret of another fleet"}}}).open(codec.seal(issued)));
}

TEST_CASE("a full claim bucket round-trips and fits into one stored value")
{
    actions::claim_bucket bucket;
    bucket.clock = actions::wall_time(std::chrono::hours(500'000));
    bucket.owners.assign(1'200, test_owner);
    const std::uint64_t count = actions::claim_limits{}.max_entries;
    for (std::uint64_t index = 0; index < count; ++index) {
        bucket.entries.push_back({{largest, largest - count + index},
                                  static_cast<std::uint32_t>(index % bucket.owners.size()),
                                  actions::claim_nonce(largest)});
    }
    const std::string text = encode(bucket);
    CHECK(text.size() < largest_value_bytes);
    CHECK(decode_claim_bucket(text).value() == bucket);
}

TEST_CASE("a malformed claim bucket, one without owner or one out of order is an error")
{
    for (const auto* text :
         {"[", R"({"clock":1,"owners":[],"claims":[[1,1,0,1]]})",
          R"({"clock":1,"owners":[["a","h",1]],"claims":[[2,1,0,1],[1,1,0,1]]})"}) {
        CHECK(!decode_claim_bucket(text).ok());
    }
    CHECK(decode_claim_bucket("").value() == actions::claim_bucket{});
}

TEST_CASE("action ids differ by workspace and key, and digests by request")
{
    const auto name = [&](const char* workspace, const char* key) {
        return action_id_of(core::workspace_id(workspace), core::idempotency_key(key));
    };
    CHECK(name("a", "bc") == name("a", "bc"));
    CHECK(name("a", "bc") != name("ab", "c"));
    CHECK(digest_of(core::class_id("c"), "/p", "x") != digest_of(core::class_id("c"), "/px", ""));
}

} // namespace ej::actions_wire
