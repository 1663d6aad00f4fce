#include <overload/service_queue.h>

#include <algorithm>
#include <numeric>
#include <ranges>

namespace ej::overload {

namespace {

waiting_band band_of(const generation_demand& demand, core::instant now)
{
    if (demand.may_have_run) {
        return waiting_band::begun;
    }
    return demand.first_output_by > now ? waiting_band::timely : waiting_band::late;
}

/// Tokens that the generation asks of an engine; > 0.
double work_of(const generation_demand& demand)
{
    return 1 + double(demand.size.prompt_tokens) + double(demand.size.output_tokens);
}

} // namespace

service_queue::service_queue(const std::shared_ptr<const fairness::share_policy>& order)
    : bands_{fairness::fair_queue(order), fairness::fair_queue(order), fairness::fair_queue(order)}
{
}

void service_queue::push(const waiting_generation& added, core::instant now)
{
    const auto& demand = added.demand;
    band(band_of(demand, now))
        .push({added.id, demand.workspace, work_of(demand), demand.arrived, demand.deadline,
               demand.first_output_by});
}

void service_queue::remove(const core::request_id& id)
{
    std::ranges::any_of(bands_, [&](auto& one) { return one.cancel(id).has_value(); });
}

std::optional<core::request_id> service_queue::next(core::instant now)
{
    move_late(now);
    for (const fairness::fair_queue& one : bands_) {
        if (const auto* const head = one.next()) {
            return head->request;
        }
    }
    return std::nullopt;
}

void service_queue::grant(const core::request_id& id)
{
    const auto found = std::ranges::find_if(bands_, [&](const fairness::fair_queue& one) {
        return one.next() != nullptr && one.next()->request == id;
    });
    if (found == bands_.end()) {
        remove(id);
        return;
    }
    found->pop();
}

std::optional<core::request_id> service_queue::take_newest()
{
    for (fairness::fair_queue& one : bands_ | std::views::reverse) {
        if (const auto taken = one.take_newest_of_longest()) {
            return taken->request;
        }
    }
    return std::nullopt;
}

std::size_t service_queue::count() const
{
    return std::transform_reduce(
        bands_.begin(), bands_.end(), std::size_t{0}, std::plus<>(),
        [](const fairness::fair_queue& one) { return one.waiting().count; });
}

void service_queue::move_late(core::instant now)
{
    auto& timely = band(waiting_band::timely);
    while (timely.next() != nullptr && timely.next()->start_by <= now) {
        const auto late = timely.cancel(timely.next()->request);
        band(waiting_band::late).push(*late);
    }
}

} // namespace ej::overload
