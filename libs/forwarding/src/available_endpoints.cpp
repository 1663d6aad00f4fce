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
    for (auto& [where, record] : latest) {
        if (!record.leaving) {
            by_service_[record.what.service].push_back(std::move(record.what));
        }
    }
    for (auto& [service, endpoints] : by_service_) {
        std::ranges::sort(endpoints);
    }
}

const std::vector<core::endpoint>& available_endpoints::of(const core::service_id& service) const
{
    static const std::vector<core::endpoint> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

std::size_t available_endpoints::size() const
{
    return std::accumulate(
        by_service_.begin(), by_service_.end(), std::size_t{0},
        [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

bool available_endpoints::lists(const core::endpoint& endpoint) const
{
    return std::ranges::binary_search(of(endpoint.service), endpoint);
}

} // namespace ej::forwarding
