#include <seal/keyed_digest.h>
#include <seal/sealer.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace ej::seal {

namespace {

const secret old_key{"an old secret, 16+"};
const secret new_key{"a new secret, 16 +"};

} // namespace

TEST_CASE("a sealed text opens with every secret in use, and only for its purpose")
{
    rc::prop("any text", [](const std::string& text) {
        const std::string sealed = sealer({{old_key}}, "ticket").seal(text);
        RC_ASSERT(sealer({{new_key, old_key}}, "ticket").open(sealed) == text);
        RC_ASSERT(!sealer({{new_key}}, "ticket").open(sealed));
        RC_ASSERT(!sealer({{old_key}}, "ticke").open(sealed));
    });
}

TEST_CASE("a sealed text with any character changed does not open")
{
    rc::prop("one changed character", [](const std::string& text, std::size_t place, char other) {
        const sealer ours({{old_key}}, "ticket");
        std::string sealed = ours.seal(text);
        place %= sealed.size();
        RC_PRE(sealed[place] != other);
        sealed[place] = other;
        RC_ASSERT(!ours.open(sealed));
    });
}

TEST_CASE("a digest depends on key and text")
{
    CHECK(digest(old_key, "a") == digest(old_key, "a"));
    CHECK(digest(old_key, "a") != digest(old_key, "b"));
    CHECK(digest(old_key, "a") != digest(new_key, "a"));
}

} // namespace ej::seal
