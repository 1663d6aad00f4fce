#include <overload/waiting_room.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace ej::overload {

namespace {

// A request that has waited for this part of its time may be served earlier by another daemon.
constexpr int shares_of_time = 3;

bool waited_too_long(const generation_demand& demand, core::instant now)
{
    return now - demand.arrived > (demand.deadline - demand.arrived) / shares_of_time;
}

} // namespace

waiting_room::waiting_room(std::shared_ptr<const fairness::share_policy> order,
                           waiting_limits limits)
    : order_(std::move(order)), limits_(limits)
{
}

std::vector<core::request_id> waiting_room::add(const waiting_generation& added)
{
    const auto& demand = added.demand;
    queues_.try_emplace(demand.service, order_).first->second.push(added, demand.arrived);
    waiting_.emplace(added.id, added);
    bytes_ += added.bytes;
    std::vector<core::request_id> leaving;
    while (waiting_.size() > limits_.count || bytes_ > limits_.bytes) {
        make_room(leaving);
    }
    return leaving;
}

void waiting_room::make_room(std::vector<core::request_id>& leaving)
{
    // From the longest queue, so that a crowd for one service leaves the others alone.
    const auto longest =
        std::ranges::max_element(queues_, {}, [](const auto& one) { return one.second.count(); });
    if (const auto taken = longest->second.take_newest()) {
        leaving.push_back(*taken);
        remove(*taken);
    }
}

void waiting_room::remove(const core::request_id& id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    queues_.at(found->second.demand.service).remove(id);
    bytes_ -= found->second.bytes;
    waiting_.erase(found);
}

std::optional<core::request_id> waiting_room::next(const core::service_id& service,
                                                   core::instant now)
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? std::nullopt : found->second.next(now);
}

void waiting_room::grant(const core::request_id& id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    queues_.at(found->second.demand.service).grant(id);
    bytes_ -= found->second.bytes;
    waiting_.erase(found);
}

std::vector<core::request_id> waiting_room::due(core::instant now)
{
    std::vector<core::request_id> found;
    for (const auto& [id, one] : waiting_) {
        if (waited_too_long(one.demand, now)) {
            found.push_back(id);
        }
    }
    return found;
}

std::size_t waiting_room::count(const core::service_id& service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.count();
}

std::vector<core::service_id> waiting_room::services() const
{
    std::vector<core::service_id> found;
    for (const auto& [service, queue] : queues_) {
        if (queue.count() > 0) {
            found.push_back(service);
        }
    }
    return found;
}

} // namespace ej::overload
