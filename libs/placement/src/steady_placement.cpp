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

// An engine of a plan may have gone, and a model may have left the store.
bool is_known(const assignment& one, const situation& seen)
{
    return std::ranges::find(seen.engines, one.engine, &engine::name) != seen.engines.end() &&
           std::ranges::find(seen.models, one.model, &model::name) != seen.models.end();
}

// Shares of the engines' throughput; an engine with several models divides it among them.
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

plan steady_placement::next(const plan& before, const situation& seen, core::instant now)
{
    auto next = before;
    std::erase_if(next.assignments, [&](const assignment& one) { return !is_known(one, seen); });
    if (before.assignments.empty()) {
        adopt(next, seen, now);
    }
    shrink(next, seen, now);
    grow(next, seen, now);
    std::ranges::sort(next.assignments);
    return next;
}

// A new holder has no plan: what the engines have is its first.
void steady_placement::adopt(plan& next, const situation& seen, core::instant now) const
{
    for (const auto& host : seen.engines) {
        for (const auto& name : host.loaded) {
            const auto size = megabytes_of(name, seen);
            if (size > 0 && size <= free_megabytes(host, next, seen)) {
                next.assignments.push_back({host.name, name, now - settings_.min_hold});
            }
        }
    }
}

void steady_placement::shrink(plan& next, const situation& seen, core::instant now) const
{
    for (const auto& one : seen.models) {
        const auto asked = demand_for(one.name, seen);
        const auto oldest =
            std::ranges::min_element(next.assignments, {}, [&](const assignment& candidate) {
                return std::pair(candidate.model != one.name, candidate.since);
            });
        if (oldest == next.assignments.end() || oldest->model != one.name ||
            now - oldest->since < settings_.min_hold) {
            continue;
        }
        auto without = next;
        without.assignments.erase(without.assignments.begin() +
                                  (oldest - next.assignments.begin()));
        // A model that nobody asks for stays while its place is not needed.
        const bool needless =
            asked > 0 && asked < settings_.shrink_below * capacity(without, one.name);
        if (needless) {
            next = std::move(without);
        }
    }
}

void steady_placement::grow(plan& next, const situation& seen, core::instant now)
{
    auto wanted = seen.models;
    std::ranges::sort(wanted, std::greater{},
                      [&](const model& one) { return demand_for(one.name, seen); });
    for (const auto& one : wanted) {
        while (demand_for(one.name, seen) > settings_.grow_above * capacity(next, one.name)) {
            if (!add_replica(next, seen, one, now)) {
                break;
            }
        }
    }
}

// An engine that has the model already is the best; then the one with most free memory; then one
// that gives up a model which nobody asks for.
bool steady_placement::add_replica(plan& next, const situation& seen, const model& wanted,
                                   core::instant now)
{
    const engine* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    plan best_plan;
    for (const auto& host : seen.engines) {
        if (is_planned(next, host.name, wanted.name)) {
            continue;
        }
        auto changed = next;
        std::erase_if(changed.assignments, [&](const assignment& one) {
            return free_megabytes(host, next, seen) < wanted.megabytes && one.engine == host.name &&
                   demand_for(one.model, seen) <= 0 && now - one.since >= settings_.min_hold;
        });
        const auto free = free_megabytes(host, changed, seen);
        const std::pair rank(host.loaded.contains(wanted.name), free);
        if (free >= wanted.megabytes && (best == nullptr || rank > best_rank)) {
            best = &host;
            best_rank = rank;
            best_plan = std::move(changed);
        }
    }
    if (best == nullptr ||
        (!best->loaded.contains(wanted.name) && !store_.take(wanted.megabytes, now))) {
        return false;
    }
    next = std::move(best_plan);
    next.assignments.push_back({best->name, wanted.name, now});
    return true;
}

} // namespace ej::placement
