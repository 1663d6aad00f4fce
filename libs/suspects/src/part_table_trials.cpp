#include <suspects/part_table.h>

#include <suspects/refusal_pause.h>
#include <suspects/trial_pause.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ej::suspects {

namespace {

// Longer than a request takes to reach an endpoint; its end comes before in nearly all cases.
constexpr std::chrono::minutes admission_time{1};

} // namespace

part_verdict part_table::evaluate(std::span<const part_digest> parts, const trial_delay& delay,
                                  core::instant now)
{
    std::vector<part_digest> held;
    std::ranges::copy_if(parts, std::back_inserter(held),
                         [this](part_digest part) { return is_held(part); });
    if (held.empty()) {
        return {};
    }
    if (!may_try(held, delay, now)) {
        return refusal(std::move(held), now);
    }
    // Another request may have been admitted since.
    const auto failed =
        std::ranges::find_if(held, [&](part_digest part) { return !admit(part, now); });
    if (failed != held.end()) {
        return_trial({held.begin(), failed}, now);
        return refusal(std::move(held), now);
    }
    return {verdict::isolate, std::move(held), {}};
}

part_verdict part_table::refusal(std::vector<part_digest> held, core::instant now)
{
    // Requests are refused until the last of their parts is released.
    core::duration pause{};
    for (const part_digest part : held) {
        pause = std::max(pause, refusal_pause(now - history_of(part).last_death.value_or(now)));
    }
    return {verdict::refuse, std::move(held), pause};
}

bool part_table::may_try(std::span<const part_digest> held, const trial_delay& delay,
                         core::instant now)
{
    // The failure of a trial with several held parts does not tell which one is to blame: requests
    // with one of them go first, and the last trial is left to them.
    const bool together = held.size() > 1;
    const auto latest = now - delay(held.front());
    return std::ranges::all_of(held, [&](part_digest part) {
        const auto known = history_of(part).hold;
        if (!known) {
            return false;
        }
        return together ? known->trials + 1 < max_trials &&
                              latest >= known->next_trial + trial_pause(known->trials)
                        : known->trials < max_trials && latest >= known->next_trial;
    });
}

bool part_table::admit(part_digest part, core::instant now)
{
    return histories_.with(part, [&](auto& histories) {
        const auto found = histories.find(part);
        if (found == histories.end() || !found->second.hold ||
            now < found->second.hold->next_trial) {
            return false;
        }
        found->second.hold->next_trial = now + admission_time;
        found->second.hold->admitted = true;
        return true;
    });
}

void part_table::begin_trial(std::span<const part_digest> held, core::instant now)
{
    for (const part_digest part : held) {
        histories_.with(part, [&](auto& histories) {
            const auto found = histories.find(part);
            if (found == histories.end() || !found->second.hold) {
                return; // An output has released it meanwhile.
            }
            part_hold& hold = *found->second.hold;
            ++hold.trials;
            hold.next_trial = now + trial_pause(hold.ambiguous ? hold.trials - 1 : hold.trials);
            hold.admitted = false;
            found->second.last_death = now;
        });
    }
}

void part_table::return_trial(std::span<const part_digest> held, core::instant now)
{
    for (const part_digest part : held) {
        histories_.with(part, [&](auto& histories) {
            const auto found = histories.find(part);
            // Another daemon may have tried the part meanwhile.
            if (found != histories.end() && found->second.hold && found->second.hold->admitted) {
                found->second.hold->admitted = false;
                found->second.hold->next_trial = now;
            }
        });
    }
}

bool part_table::is_admitted(std::span<const part_digest> held)
{
    return std::ranges::all_of(held, [this](part_digest part) {
        const auto known = history_of(part).hold;
        return !known || known->admitted;
    });
}

} // namespace ej::suspects
