#include <forwarding/endpoint_choice.h>
#include <forwarding/endpoint_directory.h>
#include <forwarding/endpoint_registry.h>
#include <forwarding/leaving_announcements.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const core::service_id service("s");

endpoint_record record(const std::string& name, std::uint64_t started, bool leaving = false,
                       std::uint16_t port = 1)
{
    endpoint_record made;
    made.what.name = core::endpoint_id(name);
    made.what.incarnation = core::incarnation_id(std::to_string(started));
    made.what.service = service;
    made.what.where = {"10.0.0.1", port};
    made.leaving = leaving;
    made.started_ms = started;
    return made;
}

/// A registry of endpoints of `service` with its directory.
struct registrations {
    registrations() { log.name_services({service}, start); }

    endpoint_directory directory;
    endpoint_registry log{directory};
    std::uint64_t revision = 0;

    bool put(const endpoint_record& one)
    {
        const bool changed = log.put(one.what.name, one, core::revision(++revision));
        log.publish();
        return changed;
    }

    void remove(const endpoint_record& one, core::instant now)
    {
        log.remove(one.what.name, core::revision(++revision), now);
        log.publish();
    }

    [[nodiscard]] bool lists(const endpoint_record& one) const
    {
        return directory.load()->lists(one.what);
    }
};

/// The endpoint that a request is sent to now.
std::optional<core::endpoint> choose(const endpoint_directory& directory)
{
    std::vector<candidate> from;
    std::ranges::transform(directory.load()->of(service), std::back_inserter(from),
                           [](const core::endpoint& one) { return candidate{one, {}, true}; });
    const auto index = make_choice("fewest_requests")->choose(from, {}, 0, start);
    return index ? std::optional(from[*index].what) : std::nullopt;
}

/// Incarnation `number` is registered, leaves by one of the three sources, and is gone. Every
/// second one starts under the name of an earlier one, whose registration it replaces.
void come_and_leave(registrations& in, int number, core::instant now)
{
    const bool same_name = number % 2 == 0;
    const auto name = same_name ? std::string("i-0") : "i-" + std::to_string(number);
    auto one = record(name, static_cast<std::uint64_t>(number));
    in.put(one);
    const auto source = std::array{leaving_source::registration, leaving_source::answer,
                                   leaving_source::peer}[static_cast<std::size_t>(number) % 3];
    one.leaving = source == leaving_source::registration;
    in.put(one);
    in.directory.leave({run_of(one.what), source});
    if (!same_name) {
        in.remove(one, now);
    }
}

} // namespace

TEST_CASE("an incarnation that leaves by any source gets no requests although its registration "
          "says ready")
{
    const auto source =
        GENERATE(leaving_source::registration, leaving_source::answer, leaving_source::peer);
    registrations in;
    const auto one = record("i-1", 1);
    in.put(one);
    REQUIRE(in.lists(one));
    CHECK(in.directory.leave({run_of(one.what), source}));
    CHECK_FALSE(in.lists(one));
    CHECK_FALSE(in.directory.leave({run_of(one.what), leaving_source::answer}));
    in.put(record("i-1", 1));
    CHECK_FALSE(in.lists(one));
    in.put(record("i-1", 2));
    CHECK(in.lists(record("i-1", 2)));
}

TEST_CASE("an incarnation that leaves before its registration is read gets no requests")
{
    registrations in;
    const auto one = record("i-1", 1);
    in.directory.leave({run_of(one.what), leaving_source::peer});
    in.put(one);
    CHECK_FALSE(in.lists(one));
}

TEST_CASE("an older entry at the address of an endpoint that leaves does not come into use")
{
    registrations in;
    in.put(record("i-old", 1));
    const auto latest = record("i-new", 2);
    in.put(latest);
    in.directory.leave({run_of(latest.what), leaving_source::answer});
    in.put(record("i-2", 1, false, 2));
    CHECK(in.directory.load()->size() == 1);
    CHECK(in.lists(record("i-2", 1, false, 2)));
}

TEST_CASE("an incarnation that left is remembered while it is registered and for some time after")
{
    registrations in;
    const auto one = record("i-1", 1);
    in.put(one);
    in.directory.leave({run_of(one.what), leaving_source::answer});
    auto now = start;
    const auto wait = [&](core::duration time) {
        for (const auto end = now + time; now < end; now += seconds(10)) {
            in.log.review(now);
        }
    };
    wait(2 * leaving_endpoints::retention);
    in.put(one);
    CHECK_FALSE(in.lists(one));
    in.remove(one, now);
    wait(leaving_endpoints::retention - seconds(10));
    in.put(one);
    CHECK_FALSE(in.lists(one));
    in.remove(one, now);
    wait(leaving_endpoints::retention + seconds(130)); // Up to two reviews later.
    CHECK(in.directory.leaving() == 0);
}

TEST_CASE("what is remembered of ten thousand incarnations that left does not grow")
{
    registrations in;
    std::map<int, std::size_t> sizes;
    for (int number = 1; number <= 10'000; ++number) {
        const auto now = start + seconds(number);
        come_and_leave(in, number, now);
        in.log.review(now);
        sizes[number] = in.directory.leaving();
    }
    // A review may be late by its interval.
    const auto bound = static_cast<std::size_t>(leaving_endpoints::retention / seconds(1)) + 130;
    CHECK(std::ranges::all_of(sizes, [&](const auto& one) { return one.second <= bound; }));
    CHECK(sizes[10'000] <= sizes[2'000] + 60);
    CHECK(in.directory.load()->size() == 0);
}

TEST_CASE("after any order of events no incarnation is chosen that was said to leave, and a new "
          "one is")
{
    const bool holds = rc::check([] {
        registrations in;
        std::set<endpoint_run> said;
        auto now = start;
        const auto count = *rc::gen::inRange(1, 60);
        for (int step = 0; step < count; ++step) {
            const auto name = *rc::gen::element<std::string>("i-1", "i-2", "i-3");
            const auto port = static_cast<std::uint16_t>(static_cast<unsigned char>(name.back()));
            const auto one = record(name, *rc::gen::inRange<std::uint64_t>(1, 5),
                                    *rc::gen::inRange(0, 4) == 0, port);
            const auto run = run_of(one.what);
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
                said.insert(run);
                in.directory.leave({run, leaving_source::answer});
                break;
            case 1:
                said.insert(run);
                in.directory.leave({run, leaving_source::peer});
                break;
            case 2:
                in.remove(one, now);
                break;
            case 3:
                in.log.outage();
                break;
            case 4:
                in.log.answered(now);
                break;
            case 5:
                now += milliseconds(*rc::gen::inRange(1, 6'000));
                in.log.expire(now);
                in.log.review(now);
                in.log.publish();
                break;
            case 6: // Read late.
                if (one.leaving) {
                    said.insert(run);
                }
                in.log.put(one.what.name, one, core::revision(in.revision / 2));
                break;
            default:
                if (one.leaving) {
                    said.insert(run);
                }
                in.put(one);
                RC_ASSERT(in.lists(one) == !said.contains(run));
                break;
            }
            const auto chosen = choose(in.directory);
            const bool leaves = chosen && said.contains(run_of(*chosen));
            RC_ASSERT_FALSE(leaves);
            const auto now_available = in.directory.load();
            RC_ASSERT(
                std::ranges::none_of(now_available->of(service), [&](const core::endpoint& listed) {
                    return said.contains(run_of(listed));
                }));
        }
        const auto fresh = record("i-4", 1, false, 4);
        in.put(fresh);
        RC_ASSERT(in.lists(fresh));
        RC_ASSERT(choose(in.directory).has_value());
    });
    CHECK(holds);
}

TEST_CASE("an incarnation that leaves on one thread is not brought back by registrations that "
          "another thread publishes")
{
    constexpr std::size_t count = 200;
    endpoint_directory directory;
    std::vector<endpoint_record> records;
    records.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        records.push_back(record("i-" + std::to_string(number), 1, false,
                                 static_cast<std::uint16_t>(number + 1)));
    }
    std::atomic<bool> done{false};
    std::thread publisher([&] {
        while (!done) {
            directory.publish(records);
        }
    });
    std::size_t brought_back = 0;
    for (std::size_t left = 0; left < count;) {
        directory.leave({run_of(records[left].what), leaving_source::answer});
        ++left;
        // More than once, since the publisher may be about to replace the list.
        for (int look = 0; look < 10; ++look) {
            brought_back += directory.load()->size() > count - left ? 1 : 0;
            std::this_thread::yield();
        }
    }
    done = true;
    publisher.join();
    CHECK(brought_back == 0);
    CHECK(directory.load()->size() == 0);
}

TEST_CASE("each incarnation that leaves is announced three times, in notices of bounded size")
{
    leaving_announcements announcements;
    std::map<endpoint_run, int> told;
    const auto count_runs = [&](const leaving_notice& notice) {
        CHECK(notice.runs.size() <= leaving_notice::max_runs);
        std::ranges::for_each(notice.runs, [&](const endpoint_run& run) { ++told[run]; });
    };
    for (int number = 0; number < 60; ++number) {
        count_runs(announcements.add(
            {core::endpoint_id("i-" + std::to_string(number)), core::incarnation_id("1")}));
    }
    for (int tick = 0; tick < 5; ++tick) {
        std::ranges::for_each(announcements.repeat(), count_runs);
    }
    CHECK(told.size() == 60);
    CHECK(std::ranges::all_of(
        told, [](const auto& one) { return one.second == leaving_announcements::sends; }));
}

} // namespace ej::forwarding
