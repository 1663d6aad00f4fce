#include <rollout/rollout_phase.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::rollout {

namespace {

using named_phase = std::pair<rollout_phase, std::string_view>;

constexpr std::array<named_phase, 5> phases{{{rollout_phase::trial, "trial"},
                                             {rollout_phase::ramp, "ramp"},
                                             {rollout_phase::handover, "handover"},
                                             {rollout_phase::succeeded, "succeeded"},
                                             {rollout_phase::rolled_back, "rolled_back"}}};

} // namespace

std::string_view to_string(rollout_phase phase)
{
    return std::ranges::find(phases, phase, &named_phase::first)->second;
}

std::optional<rollout_phase> parse_phase(std::string_view name)
{
    const auto* const found = std::ranges::find(phases, name, &named_phase::second);
    return found == phases.end() ? std::nullopt : std::optional(found->first);
}

} // namespace ej::rollout
