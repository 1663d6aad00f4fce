#include "byte_share.h"

#include <catch2/catch.hpp>

#include <utility>

namespace ej::front {

namespace {

constexpr std::size_t kib = 1'024;
constexpr std::size_t free_bytes = byte_share::free_bytes;

} // namespace

TEST_CASE("one large answer leaves as much memory as it takes")
{
    byte_quota quota(1'000 * kib);
    byte_share first(quota);
    CHECK(first.resize(free_bytes + 500 * kib));
    CHECK_FALSE(first.resize(free_bytes + 501 * kib));
    byte_share second(quota);
    CHECK(second.resize(free_bytes + 250 * kib));
    CHECK_FALSE(second.resize(free_bytes + 251 * kib));
    CHECK(quota.used() == 750 * kib);
}

TEST_CASE("small answers need no memory of the quota")
{
    byte_quota quota(1);
    byte_share small(quota);
    CHECK(small.resize(free_bytes));
    CHECK_FALSE(small.resize(free_bytes + 2));
    CHECK(quota.used() == 0);
}

TEST_CASE("what answers have taken is given back once")
{
    byte_quota quota(1'000 * kib);
    {
        byte_share first(quota);
        CHECK(first.resize(free_bytes + 100 * kib));
        byte_share moved(std::move(first));
        CHECK(moved.resize(free_bytes + 50 * kib));
        CHECK(quota.used() == 50 * kib);
        byte_share output(quota);
        output.take_over(free_bytes + 50 * kib);
        moved.release();
        CHECK(quota.used() == 50 * kib);
        moved = byte_share(quota);
        CHECK(moved.resize(free_bytes + 10 * kib));
    }
    CHECK(quota.used() == 0);
}

} // namespace ej::front
