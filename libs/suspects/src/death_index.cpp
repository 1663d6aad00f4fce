#include <suspects/death_index.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

namespace ej::suspects {

namespace {

constexpr std::chrono::seconds burst_length{1};

using times = std::vector<core::instant>;

/// The times at which bursts begin; `deaths` are sorted.
times burst_starts(const times& deaths)
{
    times starts;
    std::ranges::copy_if(deaths, std::back_inserter(starts), [&](core::instant at) {
        return starts.empty() || at >= starts.back() + burst_length;
    });
    return starts;
}

/// Number of `deaths`, which are sorted, less than the length of a burst before or after `start`.
std::ptrdiff_t count_near(const times& deaths, core::instant start)
{
    return std::ranges::lower_bound(deaths, start + burst_length) -
           std::ranges::upper_bound(deaths, start - burst_length);
}

times times_of(std::span<const dated_death> deaths)
{
    times found;
    std::ranges::transform(deaths, std::back_inserter(found), &dated_death::at);
    return found;
}

} // namespace

death_index::death_index(std::span<const known_part_death> deaths)
{
    std::map<core::failure_domain_id, std::size_t> numbers;
    for (const known_part_death& one : deaths) {
        const auto [place, is_new] = numbers.try_emplace(one.what.domain, numbers.size());
        if (is_new) {
            times_.emplace_back();
        }
        times_[place->second].push_back(one.at);
        deaths_.emplace(one.what.death, dated_death{place->second, one.at});
    }
    std::ranges::for_each(times_, [](times& of_domain) { std::ranges::sort(of_domain); });
}

std::vector<dated_death> death_index::find(std::span<const death_id> ids) const
{
    std::vector<dated_death> found;
    for (const death_id& id : ids) {
        if (const auto known = deaths_.find(id); known != deaths_.end()) {
            found.push_back(known->second);
        }
    }
    std::ranges::sort(found);
    return found;
}

std::uint32_t death_index::independent(std::span<const dated_death> some) const
{
    std::ptrdiff_t count = 0;
    for (auto begin = some.begin(); begin != some.end();) {
        const auto domain = begin->domain;
        const auto end = std::find_if(
            begin, some.end(), [domain](const dated_death& one) { return one.domain != domain; });
        const auto own = times_of({begin, end});
        count += std::ranges::count_if(burst_starts(own), [&](core::instant start) {
            return 2 * count_near(own, start) >= count_near(times_[domain], start);
        });
        begin = end;
    }
    return static_cast<std::uint32_t>(count);
}

std::uint32_t bursts_of(std::span<const dated_death> deaths)
{
    auto all = times_of(deaths);
    std::ranges::sort(all);
    return static_cast<std::uint32_t>(burst_starts(all).size());
}

} // namespace ej::suspects
