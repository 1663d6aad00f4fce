#include <forwarding/services_named_by.h>

#include <algorithm>
#include <iterator>

namespace ej::forwarding {

std::set<core::service_id> services_named_by(const ruleset& rules)
{
    std::set<core::service_id> named;
    std::ranges::transform(rules.services, std::inserter(named, named.end()),
                           &service_profile::name);
    for (const route& one : rules.routes) {
        std::ranges::transform(one.backends, std::inserter(named, named.end()), &backend::service);
    }
    return named;
}

} // namespace ej::forwarding
