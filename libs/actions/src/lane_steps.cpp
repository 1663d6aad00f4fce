#include "lane_steps.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

lane_effect settle(claim_verdict verdict)
{
    lane_effect effect;
    effect.kind = lane_effect_kind::settle;
    effect.verdict = std::move(verdict);
    return effect;
}

lane_transition next_turn(claim_lane lane, std::vector<lane_effect> effects)
{
    lane.phase = lane.waiting.empty() ? lane_phase::idle : lane_phase::scheduled;
    if (lane.phase == lane_phase::scheduled) {
        lane_effect turn;
        turn.kind = lane_effect_kind::schedule;
        effects.push_back(std::move(turn));
    }
    return {std::move(lane), std::move(effects)};
}

claim_lane recalled(claim_lane lane)
{
    lane.fresh = false;
    lane.waiting.insert(lane.waiting.begin(), lane.in_flight.begin(), lane.in_flight.end());
    lane.in_flight.clear();
    return lane;
}

lane_transition given_up(claim_lane lane)
{
    lane = recalled(std::move(lane));
    std::vector<lane_effect> effects;
    std::ranges::transform(lane.waiting, std::back_inserter(effects), [](const claim& wanted) {
        return settle({verdict_kind::failed, wanted, {}, {}});
    });
    lane.waiting.clear();
    lane.failures = 0;
    lane.conflicts = 0;
    return next_turn(std::move(lane), std::move(effects));
}

} // namespace ej::actions
