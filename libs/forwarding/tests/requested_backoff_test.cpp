#include <forwarding/backup_choice.h>
#include <forwarding/endpoint_choice.h>
#include <forwarding/endpoint_stats_table.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};

core::endpoint endpoint_of(const std::string& name, const std::string& incarnation)
{
    core::endpoint what;
    what.name = core::endpoint_id(name);
    what.incarnation = core::incarnation_id(incarnation);
    what.domain = core::failure_domain_id("z1");
    what.where = {"10.0.0.1", 80};
    return what;
}

/// Two incarnations of each of three endpoints.
std::vector<core::endpoint> endpoints()
{
    std::vector<core::endpoint> made;
    for (const auto* const name : {"a", "b", "c"}) {
        for (const auto* const incarnation : {"1", "2"}) {
            made.push_back(endpoint_of(name, incarnation));
        }
    }
    return made;
}

/// Naive record of the backoffs of each endpoint's latest incarnation that requested one.
class naive_backoffs {
public:
    void add(const core::endpoint& by, core::instant until)
    {
        auto& [incarnation, ends] = requested_[by.name];
        if (incarnation != by.incarnation) {
            ends.clear();
        }
        incarnation = by.incarnation;
        ends.push_back(until);
    }

    [[nodiscard]] bool applies(const core::endpoint& to, core::instant now) const
    {
        const auto found = requested_.find(to.name);
        return found != requested_.end() && found->second.first == to.incarnation &&
               std::ranges::any_of(found->second.second,
                                   [&](core::instant one) { return one > now; });
    }

private:
    std::map<core::endpoint_id, std::pair<core::incarnation_id, std::vector<core::instant>>>
        requested_;
};

/// A random event at an endpoint.
void apply_event(endpoint_stats_table& table, naive_backoffs& naive, const core::endpoint& at,
                 core::instant now)
{
    constexpr std::uint64_t tokens = 100;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        table.begin(at.name, tokens);
        break;
    case 1:
        table.end(at.name, tokens);
        break;
    case 2:
        table.succeeded(at.name);
        break;
    case 3:
        table.failed(at.name,
                     static_cast<attempt_end>(*rc::gen::inRange(0, int(attempt_end_count))), now);
        break;
    default:
        const auto until = now + milliseconds(*rc::gen::inRange(1, 3'000));
        table.back_off(at, until);
        naive.add(at, until);
    }
}

} // namespace

TEST_CASE("for any order of events, no endpoint in a requested backoff is chosen")
{
    const bool holds = rc::check([] {
        endpoint_stats_table table;
        naive_backoffs naive;
        auto now = start;
        const auto fleet = endpoints();
        const auto strategy =
            *rc::gen::element<std::string>("round_robin", "fewest_requests", "first_output");
        const auto choice = make_choice(strategy);
        const auto events = *rc::gen::inRange(1, 60);
        for (int event = 0; event < events; ++event) {
            now += milliseconds(*rc::gen::inRange(0, 400));
            apply_event(table, naive, *rc::gen::elementOf(fleet), now);
            const auto turn = *rc::gen::inRange<std::uint64_t>(0, 6);
            std::vector<candidate> from;
            from.reserve(fleet.size());
            for (const core::endpoint& one : fleet) {
                from.push_back({one, table.of(one), true});
            }
            const auto chosen = choice->choose(from, {1'000, 100}, turn, now);
            RC_ASSERT(chosen.has_value() || std::ranges::none_of(from, [&](const auto& one) {
                          return one.stats.in_flight == 0 && !naive.applies(one.what, now);
                      }));
            RC_ASSERT(!chosen || !naive.applies(from[*chosen].what, now));
            const auto backup = choose_backup(from, fleet.front(), turn, now);
            RC_ASSERT(!backup || !naive.applies(from[*backup].what, now));
        }
    });
    CHECK(holds);
}

TEST_CASE("a shorter backoff does not shorten a longer one")
{
    endpoint_stats_table table;
    const auto endpoint = endpoint_of("a", "1");
    table.back_off(endpoint, start + seconds(2));
    table.back_off(endpoint, start + seconds(1));
    CHECK(table.in_backoff(endpoint, start + milliseconds(1'999)));
    CHECK_FALSE(table.in_backoff(endpoint, start + seconds(2)));
    table.back_off(endpoint, start + seconds(3));
    CHECK(table.in_backoff(endpoint, start + seconds(2)));
}

TEST_CASE("a backoff does not apply to another incarnation of the endpoint")
{
    endpoint_stats_table table;
    const auto first = endpoint_of("a", "1");
    const auto second = endpoint_of("a", "2");
    table.back_off(first, start + seconds(60));
    CHECK(table.in_backoff(first, start));
    CHECK_FALSE(table.in_backoff(second, start));
    CHECK(table.of(second).accepts_requests(start));
    table.back_off(second, start + seconds(1));
    CHECK(table.in_backoff(second, start));
    CHECK_FALSE(table.in_backoff(second, start + seconds(1)));
}

TEST_CASE("a success does not end a requested backoff")
{
    endpoint_stats_table table;
    const auto endpoint = endpoint_of("a", "1");
    table.back_off(endpoint, start + seconds(1));
    table.succeeded(endpoint.name);
    CHECK_FALSE(table.of(endpoint).accepts_requests(start));
}

} // namespace ej::forwarding
