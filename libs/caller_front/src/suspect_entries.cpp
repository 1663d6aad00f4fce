#include "suspect_entries.h"

#include "clock.h"
#include "entry_lease.h"

#include <suspects/owner.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace ej::front {

namespace {

// A single death is common and proves nothing. From the second one on, daemons that forget all
// would let the request crash more endpoints than it may.
constexpr std::size_t min_deaths = 2;

// Bounds the entries of all daemons, about 400 bytes each. The requests with the most deaths are
// kept.
constexpr std::size_t max_entries = 256;

/// True if a death that counts against a request is missing in its entry.
bool lacks_death(const stored_suspect& stored, const suspects::request_evidence& known)
{
    return stored.deaths.size() < max_stored_deaths &&
           std::ranges::any_of(
               known.deaths,
               [&](const suspects::request_death& one) {
                   return std::ranges::find(stored.deaths, one.death,
                                            &suspects::request_death::death) == stored.deaths.end();
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
    for (const auto& known : context_.suspects.evidence_against(min_deaths, max_entries, now())) {
        counted.insert(known.request);
        if (changes.size() == most || !is_due(known)) {
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
