#include "frame.h"
#include "handshake.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

namespace ej::peer {

TEST_CASE("a proof differs when the secret, role, sender or nonces differ")
{
    const peer_identity sender{"a", "d", {"127.0.0.1", 1}};
    const auto proof = make_proof("secret", true, sender, "n1", "n2");
    CHECK(equal_proofs(proof, make_proof("secret", true, sender, "n1", "n2")));
    CHECK_FALSE(equal_proofs(proof, make_proof("other", true, sender, "n1", "n2")));
    CHECK_FALSE(equal_proofs(proof, make_proof("secret", false, sender, "n1", "n2")));
    CHECK_FALSE(
        equal_proofs(proof, make_proof("secret", true, {"b", "d", sender.address}, "n1", "n2")));
    CHECK_FALSE(
        equal_proofs(proof, make_proof("secret", true, {"a", "e", sender.address}, "n1", "n2")));
    CHECK_FALSE(equal_proofs(proof, make_proof("secret", true, sender, "n2", "n1")));
    CHECK_FALSE(equal_proofs(proof, make_proof("secret", true, sender, "n", "1n2")));
}

TEST_CASE("an encoded frame decodes to the same frame, and corrupt bytes never crash the decoder")
{
    rc::prop("round trip", [](const std::string& payload, std::uint64_t number) {
        const auto copy = decode(encode({frame_kind::request, number, payload, {}}));
        RC_ASSERT(copy.has_value());
        RC_ASSERT(copy->payload == payload);
        RC_ASSERT(copy->request_number == number);
    });
    rc::prop("truncated or changed bytes are decoded or rejected without a crash",
             [](const std::string& payload, std::size_t at, char change) {
                 auto bytes = encode({frame_kind::challenge, 1, payload, {"a", "d", {"h", 2}}});
                 bytes[at % bytes.size()] = change;
                 (void)decode(bytes);
                 (void)decode(bytes.substr(0, at % bytes.size()));
             });
}

TEST_CASE("decoding a frame with unknown fields skips them")
{
    auto object = nlohmann::json::from_cbor(encode({frame_kind::message, 0, "p", {}}));
    object["later"] = {1, 2};
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    CHECK(decode(bytes)->payload == "p");
}

} // namespace ej::peer
