#include <forwarding/available_endpoints.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace ej::forwarding {

available_endpoints::available_endpoints(std::vector<endpoint_record> records)
{
    std::map<core::address, endpoint_record> latest;
    for (endpoint_record& record : records) {
        const auto [known, added] = latest.try_emplace(record.what.where, record);
        if (!added && known->second.started_ms < record.started_ms) {
            known->second = std::move(record);
        }
    }
    std::unordered_map<core::service_id, std::vector<core::endpoint>> lists;
    for (auto& [where, record] : latest) {
        if (!record.leaving) {
            lists[record.what.service].push_back(std::move(record.what));
        }
    }
    for (auto& [service, endpoints] : lists) {
        std::ranges::sort(endpoints);
        by_service_.emplace(
            service, std::make_shared<const std::vector<core::endpoint>>(std::move(endpoints)));
    }
}

const std::vector<core::endpoint>& available_endpoints::of(const core::service_id& service) const
{
    static const std::vector<core::endpoint> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : *found->second;
}

std::size_t available_endpoints::size() const
{
    return std::accumulate(
        by_service_.begin(), by_service_.end(), std::size_t{0},
        [](std::size_t sum, const auto& entry) { return sum + entry.second->size(); });
}

bool available_endpoints::lists(const core::endpoint& endpoint) const
{
    return std::ranges::binary_search(of(endpoint.service), endpoint);
}

available_endpoints available_endpoints::without(const endpoint_run& run) const
{
    const auto is_run = [&](const core::endpoint& one) {
        return one.name == run.name && one.incarnation == run.incarnation;
    };
    available_endpoints made = *this;
    for (auto& [service, endpoints] : made.by_service_) {
        if (std::ranges::any_of(*endpoints, is_run)) {
            auto others = *endpoints;
            std::erase_if(others, is_run);
            endpoints = std::make_shared<const std::vector<core::endpoint>>(std::move(others));
        }
    }
    return made;
}

} // namespace ej::forwarding
