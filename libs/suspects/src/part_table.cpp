#include <suspects/part_table.h>

#include <suspects/trial_pause.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ej::suspects {

namespace {

// Longer than callers retry a failed request.
constexpr std::chrono::minutes retention{15};

// Longer than the longest pause between trials, so that a hold ends by a trial, or because requests
// with the part no longer come.
constexpr std::chrono::hours hold_retention{2};

// A part whose trials all failed almost certainly crashes endpoints. If its hold ended, requests
// with it would crash several again.
constexpr std::chrono::hours proven_hold_retention{24};

/// Time from the latest evidence to the end of a hold.
core::duration retention_after(std::uint32_t trials)
{
    return trials < max_trials ? hold_retention : proven_hold_retention;
}

// A request with a part that has had no output yet is not sent again after this many independent
// deaths with the part.
constexpr std::uint32_t deaths_until_single_sends = 2;

// Enough for every policy; bounds the memory of a part.
constexpr std::size_t max_deaths = 16;

constexpr std::size_t shards = 16;
constexpr std::size_t capacity_per_shard = part_table::capacity / shards;

/// Evicts the half of the histories that has been out of use for longest, except those of parts
/// that are held back.
void evict(std::unordered_map<part_digest, part_history>& histories)
{
    std::vector<core::instant> used;
    std::ranges::transform(histories, std::back_inserter(used),
                           [](const auto& entry) { return entry.second.used; });
    const auto middle = used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
    std::ranges::nth_element(used, middle);
    std::erase_if(histories, [limit = *middle](const auto& entry) {
        return !entry.second.hold && entry.second.used <= limit;
    });
}

part_history& use_history(std::unordered_map<part_digest, part_history>& histories,
                          part_digest part, core::instant now)
{
    if (histories.size() >= capacity_per_shard && !histories.contains(part)) {
        evict(histories);
    }
    part_history& known = histories[part];
    known.used = std::max(known.used, now);
    return known;
}

} // namespace

part_table::part_table(std::unique_ptr<const part_policy> policy) : policy_(std::move(policy)) {}

part_death part_table::record_death(const part_death& reported, core::instant now)
{
    std::vector<part_digest> added;
    const part_death merged = deaths_.with(reported.death, [&](auto& deaths) {
        const auto [place, is_new] =
            deaths.try_emplace(reported.death, known_part_death{{reported.death, {}, {}}, now});
        part_death& known = place->second.what;
        std::ranges::set_difference(reported.parts, known.parts, std::back_inserter(added));
        std::vector<part_digest> all;
        std::ranges::set_union(reported.parts, known.parts, std::back_inserter(all));
        known.parts = std::move(all);
        // Daemons may disagree while a registration changes; any order gives the same result.
        known.domain = std::max(known.domain, reported.domain);
        return known;
    });
    for (const part_digest part : added) {
        histories_.with(part, [&](auto& histories) {
            part_history& known = use_history(histories, part, now);
            const auto place = std::ranges::lower_bound(known.unanswered, reported.death);
            if (place != known.unanswered.end() && *place == reported.death) {
                return;
            }
            known.last_death = now;
            if (known.unanswered.size() == max_deaths) {
                // Gives way to newer evidence: deaths of one burst would fill the list for good.
                known.unanswered.erase(known.unanswered.begin() + known.total % max_deaths);
            }
            ++known.total;
            known.unanswered.insert(std::ranges::lower_bound(known.unanswered, reported.death),
                                    reported.death);
        });
    }
    return added.empty() ? part_death{reported.death, reported.domain, {}} : merged;
}

std::vector<part_digest> part_table::record_output(std::span<const part_digest> parts,
                                                   core::instant now)
{
    std::vector<part_digest> cleared;
    std::vector<death_id> of_released;
    for (const part_digest part : parts) {
        histories_.with(part, [&](auto& histories) {
            part_history& known = use_history(histories, part, now);
            if (!known.unanswered.empty() || known.hold) {
                cleared.push_back(part);
            }
            if (known.hold) {
                std::ranges::copy(known.unanswered, std::back_inserter(of_released));
            }
            known.unanswered.clear();
            known.hold.reset();
            known.last_output = std::max(known.last_output.value_or(now), now);
        });
    }
    postpone_trials(of_released, now);
    return cleared;
}

/// The release of a part leaves the parts held beside it as the only explanation of its deaths.
void part_table::postpone_trials(std::span<const death_id> deaths, core::instant now)
{
    for (const known_part_death& death : deaths_with(deaths)) {
        for (const part_digest part : death.what.parts) {
            histories_.with(part, [&](auto& histories) {
                const auto found = histories.find(part);
                if (found != histories.end() && found->second.hold) {
                    part_hold& hold = *found->second.hold;
                    hold.next_trial = std::max(hold.next_trial, now + trial_pause(hold.trials));
                }
            });
        }
    }
}

bool part_table::allows_resend(std::span<const part_digest> parts)
{
    return std::ranges::none_of(parts, [this](part_digest part) {
        const auto known = history_of(part);
        if (known.last_output || known.unanswered.size() < deaths_until_single_sends) {
            return known.hold.has_value();
        }
        const death_index deaths(deaths_with(known.unanswered));
        return known.hold ||
               deaths.independent(deaths.find(known.unanswered)) >= deaths_until_single_sends;
    });
}

part_history part_table::history_of(part_digest part)
{
    return histories_.with(part, [&](auto& histories) -> part_history {
        const auto found = histories.find(part);
        return found == histories.end() ? part_history{} : found->second;
    });
}

std::vector<known_part_death> part_table::deaths_with(std::span<const death_id> ids)
{
    std::vector<known_part_death> found;
    for (const death_id& id : ids) {
        deaths_.with(id, [&](auto& deaths) {
            if (const auto known = deaths.find(id); known != deaths.end()) {
                found.push_back(known->second);
            }
        });
    }
    return found;
}

bool part_table::is_ambiguous(part_digest part)
{
    // Beside each death there is another part without output so far.
    return std::ranges::all_of(
        deaths_with(history_of(part).unanswered), [&](const known_part_death& one) {
            return std::ranges::any_of(one.what.parts, [&](part_digest other) {
                return other != part && !history_of(other).last_output;
            });
        });
}

bool part_table::is_held(part_digest part)
{
    return histories_.with(part, [&](auto& histories) {
        const auto found = histories.find(part);
        return found != histories.end() && found->second.hold.has_value();
    });
}

bool part_table::holds_any(std::span<const part_digest> parts)
{
    return std::ranges::any_of(parts, [this](part_digest part) { return is_held(part); });
}

bool part_table::apply_held(const held_part& reported, core::instant now)
{
    const core::instant evidence_at = now - reported.since_evidence;
    if (reported.since_evidence >= retention_after(reported.trials)) {
        return true;
    }
    return histories_.with(reported.part, [&](auto& histories) {
        part_history& known = use_history(histories, reported.part, evidence_at);
        if (known.last_output && *known.last_output >= evidence_at) {
            return false;
        }
        // An equal report is not merged: its delay would prolong the hold with each repetition.
        if (!known.hold || known.hold->trials < reported.trials) {
            known.hold = part_hold{reported.trials, now + reported.until_trial, false, false};
            known.last_death = std::max(known.last_death.value_or(evidence_at), evidence_at);
        }
        return true;
    });
}

std::vector<held_part> part_table::held(core::instant now)
{
    std::vector<held_part> found;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [part, known] : histories) {
            if (known.hold) {
                found.push_back(
                    {part, known.hold->trials,
                     std::max(known.hold->next_trial - now, core::duration::zero()),
                     std::max(now - known.last_death.value_or(now), core::duration::zero())});
            }
        }
    });
    std::ranges::sort(found);
    return found;
}

void part_table::expire(core::instant now)
{
    const core::instant limit = now - retention;
    deaths_.for_each_shard([&](auto& deaths) {
        std::erase_if(deaths, [&](const auto& entry) { return entry.second.at <= limit; });
    });
    histories_.for_each_shard([&](auto& histories) {
        std::erase_if(histories, [&](const auto& entry) {
            // Every daemon dates a hold by its evidence, so that reports of it do not prolong it.
            const part_history& known = entry.second;
            return known.hold ? known.last_death.value_or(known.used) +
                                        retention_after(known.hold->trials) <=
                                    now
                              : known.used <= limit;
        });
    });
}

} // namespace ej::suspects
