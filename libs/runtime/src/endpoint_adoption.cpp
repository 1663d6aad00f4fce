#include "endpoint_adoption.h"

#include "reach_of.h"

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string_view>
#include <utility>

namespace ej::runtime {

namespace {

void log_endpoint(std::string_view message, const core::endpoint& endpoint)
{
    logging::log(logging::level::info, message,
                 {{"endpoint", endpoint.name.text()},
                  {"incarnation", endpoint.incarnation.text()},
                  {"address", core::to_string(endpoint.where)},
                  {"domain", endpoint.domain.text()}});
}

routing::pool_key pool_of(const core::endpoint& endpoint)
{
    return {endpoint.service, endpoint.domain};
}

} // namespace

void adopt_endpoints(daemon_context& shared, const std::vector<core::endpoint>& listed)
{
    endpoint_directory::map next;
    std::ranges::transform(listed, std::inserter(next, next.end()),
                           [](const core::endpoint& one) { return std::pair(one.name, one); });
    const auto before = shared.endpoints.replace(next);
    for (const auto& [name, endpoint] : before) {
        if (!next.contains(name)) {
            shared.pools.remove(pool_of(endpoint), name);
            log_endpoint("endpoint removed from use", endpoint);
        }
    }
    for (const auto& [name, endpoint] : next) {
        const auto old = before.find(name);
        if (old == before.end() || old->second != endpoint) {
            shared.pools.add(endpoint, std::chrono::steady_clock::now());
            log_endpoint("endpoint put in use", endpoint);
        }
    }
    shared.reachable_domains.store(reach_of(next, shared.settings.domain));
    shared.gate.endpoints_listed();
}

} // namespace ej::runtime
