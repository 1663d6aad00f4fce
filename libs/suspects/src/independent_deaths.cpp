#include <suspects/independent_deaths.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace ej::suspects {

namespace {

constexpr std::chrono::seconds burst_length{1};

using times = std::vector<core::instant>;

/// The times at which bursts begin.
times burst_starts(times deaths)
{
    std::ranges::sort(deaths);
    times starts;
    for (const core::instant at : deaths) {
        if (starts.empty() || at >= starts.back() + burst_length) {
            starts.push_back(at);
        }
    }
    return starts;
}

std::ptrdiff_t count_near(const times& deaths, core::instant start)
{
    return std::ranges::count_if(deaths, [start](core::instant at) {
        return at > start - burst_length && at < start + burst_length;
    });
}

std::map<core::failure_domain_id, times> times_by_domain(std::span<const known_part_death> deaths)
{
    std::map<core::failure_domain_id, times> found;
    for (const known_part_death& one : deaths) {
        found[one.what.domain].push_back(one.at);
    }
    return found;
}

} // namespace

std::uint32_t independent_deaths(std::span<const known_part_death> deaths,
                                 std::span<const known_part_death> all)
{
    auto every = times_by_domain(all);
    std::ptrdiff_t count = 0;
    for (const auto& [domain, of_domain] : times_by_domain(deaths)) {
        const auto& others = every[domain];
        count += std::ranges::count_if(burst_starts(of_domain), [&](core::instant start) {
            return 2 * count_near(of_domain, start) >= count_near(others, start);
        });
    }
    return static_cast<std::uint32_t>(count);
}

std::uint32_t bursts_of(std::span<const known_part_death> deaths)
{
    times all;
    std::ranges::transform(deaths, std::back_inserter(all), &known_part_death::at);
    return static_cast<std::uint32_t>(burst_starts(std::move(all)).size());
}

} // namespace ej::suspects
