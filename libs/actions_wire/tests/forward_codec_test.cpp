#include <actions_wire/forward_codec.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace ej::actions_wire {

TEST_CASE("a forwarded action is read back as written")
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

TEST_CASE("each outcome is read back as written")
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

TEST_CASE("a result is read back as written, also when it is no longer kept")
{
    const auto done = actions::ran(actions::action_result{200, "application/json", "{}"});
    CHECK(decode_outcome(encode(done)).value() == done);
    CHECK(decode_outcome(encode(actions::ran(std::nullopt))).value() == actions::ran(std::nullopt));
}

TEST_CASE("what is no forwarded action is an error, never a call")
{
    for (const auto* text : {"", "{}", "[]", R"({"workspace":"w"})", R"({"kind":"other"})"}) {
        CHECK(!decode_forwarded_call(text).ok());
        CHECK(!decode_outcome(text).ok());
    }
}

} // namespace ej::actions_wire
