#include "suspect_entries.h"

#include "clock.h"
#include "entry_lease.h"

#include <suspects/owner.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace ej::front {

namespace {

// A single death is common and proves nothing. From the second one on, daemons that forget all
// would let the request crash more endpoints than it may.
constexpr std::size_t min_deaths = 2;

// Endpoints that die within this time mostly die of one cause, such as the loss of a domain.
constexpr std::chrono::seconds burst{1};

// Bounds the entries of all daemons, about 400 bytes each. The requests with the most deaths are
// kept.
constexpr std::size_t max_entries = 256;

/// The deaths in `evidence`, by age.
std::multimap<core::duration, suspects::death_id>
deaths_by_age(const std::vector<suspects::request_evidence>& evidence)
{
    std::multimap<core::duration, suspects::death_id> found;
    for (const suspects::request_evidence& known : evidence) {
        for (const suspects::request_death& one : known.deaths) {
            found.emplace(one.age, one.death);
        }
    }
    return found;
}

bool lists(const std::vector<suspects::request_death>& deaths, const suspects::death_id& death)
{
    return std::ranges::find(deaths, death, &suspects::request_death::death) != deaths.end();
}

/// True if the deaths that count against a request suffice for an entry. A death beside which other
/// endpoints died without the request counts half: otherwise each loss of a failure domain would
/// write an entry for every stream that ran through two of them.
bool suffices_for_entry(const suspects::request_evidence& known,
                        const std::multimap<core::duration, suspects::death_id>& all)
{
    // In halves, so that the sum is exact.
    const auto weight_of = [&](const suspects::request_death& one) {
        const std::ranges::subrange within_burst(all.lower_bound(one.age - burst),
                                                 all.upper_bound(one.age + burst));
        const bool others_died = std::ranges::any_of(
            within_burst, [&](const auto& other) { return !lists(known.deaths, other.second); });
        return std::size_t{others_died ? 1U : 2U};
    };
    std::size_t sum = 0;
    std::ranges::for_each(known.deaths, [&](const auto& one) { sum += weight_of(one); });
    return sum >= 2 * min_deaths;
}

/// True if a death that counts against a request is missing in its entry.
bool lacks_death(const stored_suspect& stored, const suspects::request_evidence& known)
{
    return stored.deaths.size() < max_stored_deaths &&
           std::ranges::any_of(
               known.deaths,
               [&](const suspects::request_death& one) {
                   return !lists(stored.deaths, one.death);
               });
}

} // namespace

void suspect_entries::observe(suspects::request_digest request)
{
    observed_.insert(request);
}

std::vector<platform::store_write> suspect_entries::due(std::size_t most)
{
    std::vector<platform::store_write> changes;
    std::set<suspects::request_digest> counted;
    const auto evidence = context_.suspects.evidence_against(min_deaths, max_entries, now());
    const auto all = deaths_by_age(evidence);
    for (const suspects::request_evidence& known : evidence) {
        counted.insert(known.request);
        if (changes.size() == most || !suffices_for_entry(known, all) || !is_due(known)) {
            continue;
        }
        auto text = stored_suspect_text(known.deaths, time_of_day());
        // An identifier that the format cannot hold would be written again and again.
        if (parse_stored_suspect(text, time_of_day())) {
            changes.push_back({layout_.suspect_key(known.request), std::move(text), {}, {}});
        }
    }
    std::erase_if(observed_, [&](suspects::request_digest one) { return !counted.contains(one); });
    for (const auto& [request, stored] : context_.suspects_in_store) {
        if (changes.size() < most && !context_.suspects.is_suspect(request) && owns(request)) {
            changes.push_back({layout_.suspect_key(request), std::nullopt, {}, {}});
        }
    }
    return changes;
}

bool suspect_entries::is_due(const suspects::request_evidence& known)
{
    const auto& entries = context_.suspects_in_store;
    const auto stored = entries.find(known.request);
    if (stored == entries.end()) {
        return entries.size() < max_entries &&
               (observed_.contains(known.request) || owns(known.request));
    }
    if (lacks_death(stored->second, known)) {
        return observed_.contains(known.request) || owns(known.request);
    }
    observed_.erase(known.request);
    return is_lease_half_over(stored->second.seen, now()) && owns(known.request);
}

void suspect_entries::record(const platform::store_write& made)
{
    const auto request = layout_.suspect_of(made.key);
    if (!request) {
        return;
    }
    auto deaths = made.value ? parse_stored_suspect(*made.value, time_of_day()) : std::nullopt;
    if (deaths) {
        context_.suspects_in_store[*request] = {*std::move(deaths), now()};
    }
    else {
        context_.suspects_in_store.erase(*request);
    }
}

bool suspect_entries::idle()
{
    return context_.suspects.size() == 0 && context_.suspects_in_store.empty();
}

bool suspect_entries::owns(suspects::request_digest request) const
{
    const auto members = context_.parts.members.load();
    return suspects::owner(request, *members) == context_.settings.vm;
}

} // namespace ej::front
