#include <actions_wire/forward_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace ej::actions_wire {

TEST_CASE("a forwarded action round-trips")
{
    const forwarded_call call{core::workspace_id("wharf"),
                              core::class_id("departure"),
                              core::service_id("dispatch"),
                              core::idempotency_key("k-1"),
                              "/confirm",
                              R"({"boat":7})",
                              actions::claim_nonce(9),
                              std::chrono::milliseconds(1'500)};
    CHECK(decode_forwarded_call(encode(call)).value() == call);
}

TEST_CASE("each outcome round-trips")
{
    for (const auto reason : core::all_refusal_reasons()) {
        const auto outcome = actions::not_run(reason);
        CHECK(decode_outcome(encode(outcome)).value() == outcome);
    }
    for (const auto reason : actions::all_unknown_reasons()) {
        const auto outcome = actions::unknown(reason);
        CHECK(decode_outcome(encode(outcome)).value() == outcome);
    }
}

TEST_CASE("an outcome with a result round-trips, also when the result is no longer kept")
{
    const auto done = actions::ran(actions::action_result{200, "application/json", "{}"});
    CHECK(decode_outcome(encode(done)).value() == done);
    CHECK(decode_outcome(encode(actions::ran(std::nullopt))).value() == actions::ran(std::nullopt));
}

TEST_CASE("text that is not a forwarded action or an outcome is an error")
{
    for (const auto* text : {"", "{}", "[]", R"({"workspace":"w"})", R"({"kind":"other"})"}) {
        CHECK(!decode_forwarded_call(text).ok());
        CHECK(!decode_outcome(text).ok());
    }
}

} // namespace ej::actions_wire
