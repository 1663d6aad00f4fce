#include <suspects/independent_deaths.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace ej::suspects {

namespace {

constexpr std::chrono::seconds burst_length{1};

std::uint32_t bursts(std::vector<core::instant> times)
{
    std::ranges::sort(times);
    std::uint32_t count = 0;
    core::instant end = core::instant::min();
    for (const core::instant at : times) {
        if (at >= end) {
            ++count;
            end = at + burst_length;
        }
    }
    return count;
}

} // namespace

std::uint32_t independent_deaths(std::span<const known_part_death> deaths)
{
    std::map<core::failure_domain_id, std::vector<core::instant>> times;
    for (const known_part_death& one : deaths) {
        times[one.what.domain].push_back(one.at);
    }
    std::uint32_t count = 0;
    for (const auto& [domain, of_domain] : times) {
        count += bursts(of_domain);
    }
    return count;
}

std::uint32_t bursts_of(std::span<const known_part_death> deaths)
{
    std::vector<core::instant> times;
    std::ranges::transform(deaths, std::back_inserter(times), &known_part_death::at);
    return bursts(std::move(times));
}

} // namespace ej::suspects
