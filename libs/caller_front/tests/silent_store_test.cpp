#include "follower_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>
#include <string>

namespace ej::front {

namespace {

// Longer than a test may take: nothing that was sent to a silent store ends by itself.
constexpr std::chrono::minutes no_deadline{10};
constexpr std::chrono::seconds apply_within{1};

/// Makes the store silent and waits until the follower's query hangs.
void silence(follower_fixture& in)
{
    in.store.set_silent(true);
    const auto calls = in.store.calls();
    REQUIRE(in.run_until([&] { return in.store.calls() > calls; }));
}

} // namespace

TEST_CASE("a change is known after a silent store is back although the query sent before hangs")
{
    follower_fixture in(apply_within, no_deadline);
    silence(in);
    in.put("i-2");
    in.store.set_silent(false);
    CHECK(in.run_until([&] { return in.names() == std::set<std::string>{"i-1", "i-2"}; }));
}

TEST_CASE("a listing replaces the changes that a store dropped while it was silent")
{
    follower_fixture in(apply_within, no_deadline);
    in.store.drop_history();
    silence(in);
    in.put("i-2");
    in.store.set_silent(false);
    CHECK(in.run_until([&] { return in.names() == std::set<std::string>{"i-1", "i-2"}; }));
}

TEST_CASE("a change of a store that was silent time and again is known after each return")
{
    follower_fixture in(apply_within, no_deadline);
    std::set<std::string> all{"i-1"};
    for (const std::string name : {"i-2", "i-3", "i-4"}) {
        silence(in);
        in.put(name);
        all.insert(name);
        in.store.set_silent(false);
        REQUIRE(in.run_until([&] { return in.names() == all; }));
    }
}

} // namespace ej::front
