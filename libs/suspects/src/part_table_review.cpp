#include <suspects/part_table.h>

#include <suspects/independent_deaths.h>
#include <suspects/trial_pause.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::suspects {

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

part_evidence part_table::evidence_of(part_digest part, core::instant now)
{
    return evidence_among(settled_deaths(now), part);
}

part_evidence part_table::evidence_among(std::vector<known_part_death> all, part_digest part)
{
    const auto history = history_of(part);
    std::erase_if(all, [&](const known_part_death& one) {
        return std::ranges::any_of(
            one.what.parts, [&](part_digest other) { return other != part && is_held(other); });
    });
    std::vector<known_part_death> own;
    std::ranges::copy_if(all, std::back_inserter(own), [&](const known_part_death& one) {
        return std::ranges::binary_search(history.unanswered, one.what.death);
    });
    return {history.total, static_cast<std::uint32_t>(own.size()), independent_deaths(own, all),
            bursts_of(own), history.last_output.has_value()};
}

std::vector<part_digest> part_table::suspected()
{
    std::vector<part_digest> found;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [part, known] : histories) {
            if (!known.hold && known.total > 0 && !known.unanswered.empty()) {
                found.push_back(part);
            }
        }
    });
    std::ranges::sort(found);
    return found;
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
    const auto deaths = settled_deaths(now);
    for (;;) {
        // Parts that occur together share deaths. The ones with the most are held first, since
        // these then explain the deaths for the others.
        std::vector<part_digest> strongest;
        std::uint32_t most = 0;
        for (const part_digest part : suspected()) {
            const auto known = evidence_among(deaths, part);
            if (!policy_->holds(known) || known.unanswered < most) {
                continue;
            }
            if (known.unanswered > most) {
                strongest.clear();
                most = known.unanswered;
            }
            strongest.push_back(part);
        }
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
