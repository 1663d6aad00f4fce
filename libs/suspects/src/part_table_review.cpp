#include <suspects/part_table.h>

#include <suspects/trial_pause.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::suspects {

namespace {

part_evidence evidence_among(const death_index& counted, const part_history& history)
{
    const auto own = counted.find(history.unanswered);
    return {history.total, static_cast<std::uint32_t>(own.size()), counted.independent(own),
            bursts_of(own), history.last_output.has_value()};
}

/// Removes the deaths that a part of `held` explains.
void remove_explained(std::vector<known_part_death>& deaths, const std::set<part_digest>& held)
{
    std::erase_if(deaths, [&](const known_part_death& one) {
        return std::ranges::any_of(one.what.parts,
                                   [&](part_digest part) { return held.contains(part); });
    });
}

} // namespace

std::vector<known_part_death> part_table::settled_deaths(core::instant now)
{
    std::vector<known_part_death> found;
    deaths_.for_each_shard([&](const auto& deaths) {
        for (const auto& [id, known] : deaths) {
            if (known.at + settle_time <= now) {
                found.push_back(known);
            }
        }
    });
    return found;
}

std::set<part_digest> part_table::all_held()
{
    std::set<part_digest> found;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [part, known] : histories) {
            if (known.hold) {
                found.insert(part);
            }
        }
    });
    return found;
}

part_evidence part_table::evidence_of(part_digest part, core::instant now)
{
    auto others = all_held();
    others.erase(part);
    auto deaths = settled_deaths(now);
    remove_explained(deaths, others);
    return evidence_among(death_index(deaths), history_of(part));
}

/// The parts to be held back that have most deaths; sorted.
std::vector<part_digest> part_table::strongest_suspects(const death_index& counted)
{
    std::vector<part_digest> strongest;
    std::uint32_t most = 0;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [part, known] : histories) {
            if (known.hold || known.unanswered.empty()) {
                continue;
            }
            const auto evidence = evidence_among(counted, known);
            if (!policy_->holds(evidence) || evidence.unanswered < most) {
                continue;
            }
            if (evidence.unanswered > most) {
                strongest.clear();
                most = evidence.unanswered;
            }
            strongest.push_back(part);
        }
    });
    std::ranges::sort(strongest);
    return strongest;
}

void part_table::hold(part_digest part, core::instant now)
{
    // One of the parts that explain the same deaths is probably sound, and many requests may have
    // it: the first of them is a trial.
    const bool ambiguous = is_ambiguous(part);
    histories_.with(part, [&](auto& histories) {
        const auto found = histories.find(part);
        // An output may have come since the evidence was looked at.
        if (found != histories.end() && !found->second.unanswered.empty()) {
            found->second.used = std::max(found->second.used, now);
            found->second.hold =
                part_hold{0, ambiguous ? now : now + trial_pause(0), ambiguous, false};
        }
    });
}

std::vector<part_digest> part_table::review(core::instant now)
{
    std::vector<part_digest> newly_held;
    auto deaths = settled_deaths(now);
    for (;;) {
        // Parts that occur together share deaths. The ones with the most are held first, since
        // these then explain the deaths for the others.
        remove_explained(deaths, all_held());
        const auto strongest = strongest_suspects(death_index(deaths));
        if (strongest.empty()) {
            return newly_held;
        }
        for (const part_digest part : strongest) {
            hold(part, now);
            newly_held.push_back(part);
        }
    }
}

} // namespace ej::suspects
