#include <suspects/suspect_table.h>

#include <suspects/merge.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

namespace ej::suspects {

namespace {

// Endpoints that die of one cause, such as the loss of a failure domain, do so within this time.
constexpr std::chrono::seconds burst{1};

/// A death that counts against a request, one of `deaths`.
struct counted_death {
    std::size_t deaths = 0;
    death_id death;
    request_digest request;

    friend auto operator<=>(const counted_death&, const counted_death&) = default;
};

bool contains(const std::vector<request_digest>& sorted, request_digest request)
{
    return std::ranges::binary_search(sorted, request);
}

bool is_only(const std::vector<request_digest>& requests, request_digest request)
{
    return requests.size() == 1 && requests.front() == request;
}

} // namespace

suspect_table::suspect_table(std::unique_ptr<const suspicion_policy> policy)
    : policy_(std::move(policy))
{
}

death_record suspect_table::record_death(const death_record& reported, core::instant now,
                                         core::duration age)
{
    // Repeated reports must not keep a death for longer.
    const auto expires = now - age + retention;
    if (expires <= now) {
        return {reported.death, {}, {}};
    }
    // Only newly reported requests are updated; the others already have this death in their history
    // or were cleared since.
    std::vector<request_digest> added;
    const death_record merged = deaths_.with(reported.death, [&](auto& deaths) {
        known_death& known = deaths[reported.death];
        if (known.record.empty()) {
            known.seen = now - age;
            known.expires = expires;
        }
        std::ranges::set_difference(reported.running, known.record.running,
                                    std::back_inserter(added));
        std::ranges::set_difference(reported.flowing, known.record.flowing,
                                    std::back_inserter(added));
        known.record.death = reported.death;
        known.record = merge(known.record, reported);
        return known.record;
    });
    for (const request_digest request : added) {
        record_suspect(request, reported.death, expires);
    }
    return added.empty() ? death_record{reported.death, {}, {}} : merged;
}

void suspect_table::record_suspect(request_digest request, const death_id& death,
                                   core::instant expires, std::optional<death_kind> restored)
{
    histories_.with(request, [&](auto& histories) {
        suspect_history& known = histories[request];
        const auto place = std::ranges::lower_bound(known.deaths, death);
        if (place == known.deaths.end() || *place != death) {
            known.deaths.insert(place, death);
            if (restored) {
                known.restored.emplace(death, *restored);
            }
        }
        known.expires = std::max(known.expires, expires);
    });
}

std::vector<aged_death> suspect_table::deaths_against_requests(std::size_t count, core::instant now)
{
    // Only one lock is held at a time. A request that is cleared meanwhile is returned
    // nevertheless; a daemon that has heard of its completion answers the report with it.
    std::vector<counted_death> against;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [request, known] : histories) {
            for (const death_id& death : known.deaths) {
                // Alone, the request would weigh more at the receiver than it does here.
                if (!known.restored.contains(death)) {
                    against.push_back({known.deaths.size(), death, request});
                }
            }
        }
    });
    std::ranges::sort(against, std::greater());
    std::map<death_id, std::size_t> places;
    std::vector<aged_death> found;
    for (const auto& [deaths, death, request] : against) {
        const auto known = death_of(death);
        if (known.expires <= now) {
            continue;
        }
        const auto [place, added] = places.emplace(death, found.size());
        if (added) {
            if (found.size() == count) {
                break;
            }
            found.push_back({{death, {}, {}}, now - known.seen});
        }
        auto& record = found[place->second].record;
        (contains(known.record.running, request) ? record.running : record.flowing)
            .push_back(request);
    }
    for (aged_death& one : found) {
        std::ranges::sort(one.record.running);
        std::ranges::sort(one.record.flowing);
    }
    return found;
}

std::vector<request_digest> suspect_table::cleared_among(const death_record& reported)
{
    const auto known = death_of(reported.death).record;
    std::vector<request_digest> cleared;
    std::ranges::set_intersection(reported.running, known.running, std::back_inserter(cleared));
    std::ranges::set_intersection(reported.flowing, known.flowing, std::back_inserter(cleared));
    std::erase_if(cleared, [this](request_digest request) { return is_suspect(request); });
    return cleared;
}

bool suspect_table::is_suspect(request_digest request)
{
    return histories_.with(request,
                           [&](const auto& histories) { return histories.contains(request); });
}

known_death suspect_table::death_of(const death_id& death)
{
    return deaths_.with(death, [&](const auto& deaths) {
        const auto found = deaths.find(death);
        return found == deaths.end() ? known_death() : found->second;
    });
}

bool suspect_table::clear(request_digest request)
{
    return histories_.with(request, [&](auto& histories) { return histories.erase(request) > 0; });
}

suspect_history suspect_table::history_of(request_digest request, core::instant now)
{
    return histories_.with(request, [&](const auto& histories) -> suspect_history {
        const auto found = histories.find(request);
        if (found == histories.end() || found->second.expires <= now) {
            return {};
        }
        return found->second;
    });
}

verdict suspect_table::evaluate(request_digest request, core::instant now)
{
    evidence known;
    // The history is copied out of the request's shard first, so that only one lock is held at a
    // time.
    const auto history = history_of(request, now);
    for (const death_id& death : history.deaths) {
        switch (kind_of(request, death, history)) {
        case death_kind::alone:
            ++known.solo_deaths;
            break;
        case death_kind::shared:
            ++known.shared_deaths;
            break;
        case death_kind::after_output:
            ++known.deaths_after_output;
            break;
        }
    }
    return policy_->evaluate(known);
}

/// What counts for a restored death is the weaker of what was stored and what is known here.
death_kind suspect_table::kind_of(request_digest request, const death_id& death,
                                  const suspect_history& history)
{
    const auto known = death_of(death);
    const auto beside_others =
        contains(known.record.flowing, request) && !contains(known.record.running, request)
            ? death_kind::after_output
            : death_kind::shared;
    const auto kind = ran_alone(request, known) ? death_kind::alone : beside_others;
    const auto stored = history.restored.find(death);
    return stored == history.restored.end() ? kind : std::max(kind, stored->second);
}

/// True if no other request can have caused the death. Requests after output are suspected only if
/// there was none without output. Such a request is resumed at one endpoint after the other, also
/// in an outage, so that it ran alone only if no other endpoint died at the same time.
bool suspect_table::ran_alone(request_digest request, const known_death& known)
{
    if (!known.record.running.empty()) {
        return is_only(known.record.running, request);
    }
    return is_only(known.record.flowing, request) && !other_endpoint_died(request, known.seen);
}

/// True if another endpoint, which did not run the request, died at the time `at`.
bool suspect_table::other_endpoint_died(request_digest request, core::instant at)
{
    bool found = false;
    deaths_.for_each_shard([&](auto& deaths) {
        found = found || std::ranges::any_of(deaths, [&](const auto& entry) {
                    const known_death& other = entry.second;
                    return other.seen >= at - burst && other.seen <= at + burst &&
                           !other.record.lists(request);
                });
    });
    return found;
}

bool suspect_table::begin_isolated(request_digest request)
{
    return histories_.with(request, [&](auto& histories) {
        const auto found = histories.find(request);
        // A request without history was cleared meanwhile and may run normally.
        return found == histories.end() || !std::exchange(found->second.isolated, true);
    });
}

void suspect_table::end_isolated(request_digest request)
{
    histories_.with(request, [&](auto& histories) {
        if (const auto found = histories.find(request); found != histories.end()) {
            found->second.isolated = false;
        }
    });
}

void suspect_table::expire(core::instant now)
{
    const auto drop = [&](auto& entries) {
        std::erase_if(entries, [&](const auto& entry) { return entry.second.expires <= now; });
    };
    histories_.for_each_shard(drop);
    deaths_.for_each_shard(drop);
}

} // namespace ej::suspects
