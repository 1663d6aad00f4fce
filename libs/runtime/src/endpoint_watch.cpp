#include "asio.h"

#include "endpoint_watch.h"

#include "pause_for.h"

#include <logging/log.h>
#include <wire/vm_list.h>

#include <algorithm>
#include <iterator>

namespace ej::runtime {

namespace {

routing::pool_key pool_of(const core::endpoint& endpoint)
{
    return {endpoint.service, endpoint.domain};
}

void adopt(services& shared, const std::vector<core::endpoint>& listed)
{
    endpoint_directory::map next;
    std::ranges::transform(listed, std::inserter(next, next.end()),
                           [](const core::endpoint& one) { return std::pair(one.name, one); });
    const auto before = shared.endpoints.replace(next);
    for (const auto& [name, endpoint] : before) {
        if (!next.contains(name)) {
            shared.pools.remove(pool_of(endpoint), name);
        }
    }
    for (const auto& [name, endpoint] : next) {
        const auto old = before.find(name);
        if (old == before.end() || old->second != endpoint) {
            shared.pools.add(endpoint, std::chrono::steady_clock::now());
        }
    }
}

} // namespace

asio::awaitable<void> watch_endpoints(std::shared_ptr<services> shared)
{
    for (;;) {
        http::request question;
        question.target = "/vms";
        http::call_options options;
        auto answer =
            co_await shared->calls->fetch(shared->settings.platform, std::move(question), options);
        auto listed = answer.ok() ? wire::parse_vm_list(answer->body) : answer.status();
        if (listed.ok()) {
            adopt(*shared, *listed);
        }
        else {
            shared->metrics.count("platform_errors_total", {{"call", "vms"}});
            logging::log(logging::level::warn, "VM list is not to be had",
                         {{"error", listed.status().ToString()}});
        }
        co_await pause_for(shared->settings.list_interval);
    }
}

} // namespace ej::runtime
