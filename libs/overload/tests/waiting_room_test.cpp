#include <overload/waiting_room.h>

#include <fairness/max_min_share.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace ej::overload {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const core::service_id service("llm");

core::request_id id_of(int number)
{
    return core::request_id(std::to_string(number));
}

waiting_generation waiting(int number, const std::string& workspace = "w",
                           core::duration target = milliseconds(4'500))
{
    return {id_of(number),
            {service,
             core::workspace_id(workspace),
             {5'000, 800},
             start,
             start + target,
             start + seconds(24)},
            1'000};
}

waiting_room room(waiting_limits limits = {})
{
    return {std::make_shared<fairness::max_min_share>(), limits};
}

} // namespace

TEST_CASE("a generation that an engine may have begun gets a place before the others")
{
    auto tested = room();
    tested.add(waiting(1));
    auto begun = waiting(2);
    begun.demand.may_have_run = true;
    tested.add(begun);
    CHECK(tested.next(service, start) == id_of(2));
}

TEST_CASE("a generation whose target has passed waits behind those that can meet theirs")
{
    auto tested = room();
    tested.add(waiting(1, "w", milliseconds(500)));
    tested.add(waiting(2));
    CHECK(tested.next(service, start) == id_of(1));
    CHECK(tested.next(service, start + seconds(1)) == id_of(2));
    tested.grant(id_of(2));
    CHECK(tested.next(service, start + seconds(1)) == id_of(1));
}

TEST_CASE("a workspace that asks for most of the places gets no more than the others")
{
    auto tested = room();
    for (int number = 0; number < 90; ++number) {
        tested.add(waiting(number, "crowd"));
    }
    for (int number = 100; number < 110; ++number) {
        tested.add(waiting(number, "a"));
        tested.add(waiting(number + 100, "b"));
    }
    std::map<bool, int> granted;
    for (int place = 0; place < 30; ++place) {
        const auto next = *tested.next(service, start);
        ++granted[std::stoi(next.text()) < 100];
        tested.grant(next);
    }
    CHECK(granted[true] == 10);
    CHECK(granted[false] == 20);
}

TEST_CASE("beyond its bounds the room loses the newest of the workspace that waits with most")
{
    auto tested = room({3, 1'000'000});
    tested.add(waiting(1, "a"));
    tested.add(waiting(2, "b"));
    tested.add(waiting(3, "b"));
    CHECK(tested.add(waiting(4, "c")) == std::vector{id_of(3)});
    CHECK_FALSE(tested.waits(id_of(3)));
    CHECK(tested.count(service) == 3);
    auto small = room({100, 2'500});
    small.add(waiting(1));
    small.add(waiting(2));
    CHECK(small.add(waiting(3)) == std::vector{id_of(3)});
}

TEST_CASE("a generation that has waited for a third of its time is due")
{
    auto tested = room();
    tested.add(waiting(1));
    CHECK(tested.due(start + seconds(8)).empty());
    CHECK(tested.due(start + milliseconds(8'001)) == std::vector{id_of(1)});
    tested.remove(id_of(1));
    CHECK(tested.empty());
    CHECK(tested.due(start + seconds(9)).empty());
    CHECK_FALSE(tested.next(service, start));
}

} // namespace ej::overload
