#include <placement/steady_placement.h>

#include "memory.h"

#include <algorithm>
#include <functional>

namespace ej::placement {

namespace {

bool is_planned(const plan& next, const core::endpoint_id& engine, const model_id& model)
{
    return next.models_of(engine).contains(model);
}

// An engine of the plan may be gone, or a model may have been removed from the weight store.
bool is_known(const assignment& one, const placement_inputs& inputs)
{
    return std::ranges::find(inputs.engines, one.engine, &engine::name) != inputs.engines.end() &&
           std::ranges::find(inputs.models, one.model, &model::name) != inputs.models.end();
}

// In engines; an engine with several models divides its throughput among them.
double capacity(const plan& planned, const model_id& model)
{
    double sum = 0;
    for (const auto& one : planned.assignments) {
        if (one.model == model) {
            sum += 1.0 / static_cast<double>(planned.models_of(one.engine).size());
        }
    }
    return sum;
}

} // namespace

steady_placement::steady_placement(placement_settings settings)
    : settings_(settings),
      store_(settings.store_megabytes_per_second, settings.store_burst_megabytes)
{
}

plan steady_placement::next(const plan& before, const placement_inputs& inputs, core::instant now)
{
    auto next = before;
    std::erase_if(next.assignments, [&](const assignment& one) { return !is_known(one, inputs); });
    if (before.assignments.empty()) {
        adopt(next, inputs, now);
    }
    shrink(next, inputs, now);
    grow(next, inputs, now);
    std::ranges::sort(next.assignments);
    return next;
}

// A new lease holder has no plan and starts from the models that the engines have loaded.
void steady_placement::adopt(plan& next, const placement_inputs& inputs, core::instant now) const
{
    for (const auto& host : inputs.engines) {
        for (const auto& name : host.loaded) {
            const auto size = megabytes_of(name, inputs);
            if (size > 0 && size <= free_megabytes(host, next, inputs)) {
                next.assignments.push_back({host.name, name, now - settings_.min_placement_time});
            }
        }
    }
}

void steady_placement::shrink(plan& next, const placement_inputs& inputs, core::instant now) const
{
    for (const auto& one : inputs.models) {
        const auto demanded = demand_for(one.name, inputs);
        const auto oldest =
            std::ranges::min_element(next.assignments, {}, [&](const assignment& candidate) {
                return std::pair(candidate.model != one.name, candidate.since);
            });
        if (oldest == next.assignments.end() || oldest->model != one.name ||
            now - oldest->since < settings_.min_placement_time) {
            continue;
        }
        auto reduced = next;
        reduced.assignments.erase(reduced.assignments.begin() +
                                  (oldest - next.assignments.begin()));
        // A model without demand stays loaded until its memory is needed.
        const bool is_surplus =
            demanded > 0 && demanded < settings_.shrink_below * capacity(reduced, one.name);
        if (is_surplus) {
            next = std::move(reduced);
        }
    }
}

void steady_placement::grow(plan& next, const placement_inputs& inputs, core::instant now)
{
    auto by_demand = inputs.models;
    std::ranges::sort(by_demand, std::greater{},
                      [&](const model& one) { return demand_for(one.name, inputs); });
    for (const auto& one : by_demand) {
        while (demand_for(one.name, inputs) > settings_.grow_above * capacity(next, one.name)) {
            if (!add_replica(next, inputs, one, now)) {
                break;
            }
        }
    }
}

// Prefers an engine that has the model loaded, then the one with the most free memory. On an engine
// without enough free memory, models without demand are removed to make room.
bool steady_placement::add_replica(plan& next, const placement_inputs& inputs, const model& desired,
                                   core::instant now)
{
    const engine* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    plan best_plan;
    for (const auto& host : inputs.engines) {
        if (is_planned(next, host.name, desired.name)) {
            continue;
        }
        auto changed = next;
        std::erase_if(changed.assignments, [&](const assignment& one) {
            return free_megabytes(host, next, inputs) < desired.megabytes &&
                   one.engine == host.name && demand_for(one.model, inputs) <= 0 &&
                   now - one.since >= settings_.min_placement_time;
        });
        const auto free = free_megabytes(host, changed, inputs);
        const std::pair rank(host.loaded.contains(desired.name), free);
        if (free >= desired.megabytes && (best == nullptr || rank > best_rank)) {
            best = &host;
            best_rank = rank;
            best_plan = std::move(changed);
        }
    }
    if (best == nullptr ||
        (!best->loaded.contains(desired.name) && !store_.take(desired.megabytes, now))) {
        return false;
    }
    next = std::move(best_plan);
    next.assignments.push_back({best->name, desired.name, now});
    return true;
}

} // namespace ej::placement
