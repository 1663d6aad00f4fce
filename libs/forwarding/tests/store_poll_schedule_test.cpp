#include <forwarding/store_poll_schedule.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

const core::instant start{std::chrono::hours(1)};
constexpr milliseconds apply_within{3'000};

/// Number of polls by `daemons` in a minute. The first `stopped` ones never poll; the first
/// `isolated` ones receive no results of other daemons.
int polls_per_minute(std::size_t daemons, std::size_t isolated, std::size_t stopped)
{
    std::vector<store_poll_schedule> paces(daemons, store_poll_schedule(apply_within));
    for (std::size_t rank = 0; rank < daemons; ++rank) {
        paces[rank].set_rank(rank);
        paces[rank].record_up_to_date(start);
    }
    int polls = 0;
    for (auto now = start; now < start + std::chrono::minutes(1); now += milliseconds(10)) {
        for (std::size_t one = stopped; one < daemons; ++one) {
            if (paces[one].next_poll() > now) {
                continue;
            }
            ++polls;
            paces[one].record_poll(now);
            paces[one].record_up_to_date(now);
            for (std::size_t other = isolated; other < daemons; ++other) {
                paces[other].record_up_to_date(now);
            }
        }
    }
    return polls;
}

} // namespace

TEST_CASE("only the first daemon of a failure domain polls while the others receive its results")
{
    const int alone = polls_per_minute(1, 0, 0);
    CHECK(alone == 199); // No poll at the start.
    CHECK(polls_per_minute(30, 0, 0) == alone);
}

TEST_CASE("the second daemon polls if the first one is gone")
{
    CHECK(polls_per_minute(30, 0, 1) == 99);
}

TEST_CASE("daemons that receive nothing from others poll in time by themselves")
{
    const int polls = polls_per_minute(10, 10, 0);
    // The first at its own interval, those with a high rank every 1.2 s.
    CHECK(polls >= 199 + 9 * 49);
    store_poll_schedule last(apply_within);
    last.set_rank(1'000);
    last.record_up_to_date(start);
    CHECK(last.next_poll() <= start + milliseconds(1'200));
}

TEST_CASE("a request for an early poll shortens the wait for one poll only")
{
    store_poll_schedule pace(apply_within);
    pace.set_rank(20);
    pace.record_poll(start);
    pace.record_up_to_date(start);
    pace.request_early_poll();
    CHECK(pace.next_poll() == start + milliseconds(300));
    pace.record_poll(start + milliseconds(300));
    pace.record_up_to_date(start + milliseconds(300));
    CHECK(pace.next_poll() == start + milliseconds(1'500));
}

} // namespace ej::forwarding
