#include <suspects/death_index.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace ej::suspects {

namespace {

using namespace std::chrono_literals;

const core::instant start = core::instant{} + 1h;

known_part_death death(int number, int domain, core::instant at)
{
    return {{{core::endpoint_id("e" + std::to_string(number)), core::incarnation_id("1")},
             core::failure_domain_id("d" + std::to_string(domain)),
             {}},
            at};
}

/// Number of `all` in the domain of `one` less than a second before or after it.
std::ptrdiff_t near(const std::vector<known_part_death>& all, const known_part_death& one)
{
    return std::ranges::count_if(all, [&](const known_part_death& other) {
        return other.what.domain == one.what.domain && other.at > one.at - 1s &&
               other.at < one.at + 1s;
    });
}

/// `death_index::independent`, written as its brief says.
std::uint32_t naive_independent(std::vector<known_part_death> some,
                                const std::vector<known_part_death>& all)
{
    std::ranges::sort(some, {}, &known_part_death::at);
    std::map<core::failure_domain_id, core::instant> last_burst;
    std::uint32_t count = 0;
    for (const known_part_death& one : some) {
        const auto known = last_burst.find(one.what.domain);
        if (known != last_burst.end() && one.at < known->second + 1s) {
            continue;
        }
        last_burst[one.what.domain] = one.at;
        count += 2 * near(some, one) >= near(all, one) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("indexed deaths are counted like deaths that are looked at one by one")
{
    rc::prop("any deaths, of which some are a part's", [] {
        std::vector<known_part_death> all;
        std::vector<known_part_death> some;
        std::vector<death_id> ids{{core::endpoint_id("unknown"), core::incarnation_id("1")}};
        const int count = *rc::gen::inRange(0, 40);
        for (int number = 0; number < count; ++number) {
            const auto at = start + *rc::gen::inRange(0, 60) * 100ms;
            all.push_back(death(number, *rc::gen::inRange(0, 3), at));
            if (*rc::gen::arbitrary<bool>()) {
                some.push_back(all.back());
                ids.push_back(all.back().what.death);
            }
        }
        const death_index index(all);
        const auto found = index.find(ids);
        RC_ASSERT(found.size() == some.size());
        RC_ASSERT(index.independent(found) == naive_independent(some, all));
    });
}

TEST_CASE("bursts are counted in whatever failure domain")
{
    const std::vector<dated_death> deaths{
        {0, start}, {0, start + 2s}, {1, start + 900ms}, {1, start + 1s}, {2, start + 2900ms}};
    CHECK(bursts_of(deaths) == 3);
    CHECK(bursts_of({}) == 0);
}

} // namespace ej::suspects
