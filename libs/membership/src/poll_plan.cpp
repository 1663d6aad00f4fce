#include <membership/poll_plan.h>

#include <membership/rendezvous.h>

#include <algorithm>
#include <iterator>

namespace ej::membership {

namespace {

constexpr std::size_t pollers_per_domain = 2;

// As many as `endpoints_per_daemon` allows, so that in a small domain each daemon polls every
// endpoint itself.
std::size_t pollers_per_endpoint(std::size_t members, std::size_t endpoints,
                                 const poll_settings& settings)
{
    const auto affordable =
        settings.endpoints_per_daemon * members / std::max<std::size_t>(endpoints, 1);
    return std::min(std::max(affordable, settings.min_pollers), members);
}

} // namespace

std::vector<core::endpoint_id> endpoints_to_poll(const core::vm_id& self,
                                                 const std::vector<core::vm_id>& members,
                                                 const std::vector<core::endpoint_id>& endpoints,
                                                 const poll_settings& settings)
{
    const auto count = pollers_per_endpoint(members.size(), endpoints.size(), settings);
    std::vector<core::endpoint_id> polled;
    std::ranges::copy_if(endpoints, std::back_inserter(polled), [&](const auto& endpoint) {
        const auto pollers = choose_by_rendezvous(endpoint.text(), members, count);
        return std::ranges::find(pollers, self) != pollers.end();
    });
    return polled;
}

std::vector<core::vm_id> list_pollers(const std::vector<core::vm_id>& members)
{
    return choose_by_rendezvous("platform list", members, pollers_per_domain);
}

} // namespace ej::membership
