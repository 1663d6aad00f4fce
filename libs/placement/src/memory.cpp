#include "memory.h"

#include <algorithm>
#include <numeric>

namespace ej::placement {

std::uint64_t megabytes_of(const model_id& name, const placement_inputs& inputs)
{
    const auto found = std::ranges::find(inputs.models, name, &model::name);
    return found == inputs.models.end() ? 0 : found->megabytes;
}

std::uint64_t free_megabytes(const engine& host, const plan& planned,
                             const placement_inputs& inputs)
{
    const auto models = planned.models_of(host.name);
    const auto used = std::accumulate(
        models.begin(), models.end(), std::uint64_t{0},
        [&](std::uint64_t sum, const model_id& name) { return sum + megabytes_of(name, inputs); });
    return host.megabytes - std::min(used, host.megabytes);
}

double demand_for(const model_id& name, const placement_inputs& inputs)
{
    const auto found = std::ranges::find(inputs.demands, name, &demand::model);
    return found == inputs.demands.end() ? 0 : found->engines;
}

} // namespace ej::placement
