#include <placement/plan.h>

#include <algorithm>

namespace ej::placement {

std::set<model_id> plan::models_of(const core::endpoint_id& engine) const
{
    std::set<model_id> models;
    for (const auto& one : assignments) {
        if (one.engine == engine) {
            models.insert(one.model);
        }
    }
    return models;
}

std::size_t plan::replicas_of(const model_id& model) const
{
    return static_cast<std::size_t>(std::ranges::count(assignments, model, &assignment::model));
}

} // namespace ej::placement
