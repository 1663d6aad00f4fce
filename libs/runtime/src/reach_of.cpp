#include "reach_of.h"

#include <iterator>
#include <set>

namespace ej::runtime {

// Domains that cannot be reached are not left out: their endpoints fail to connect, and the pools
// treat that as endpoint failures.
routing::reachable_domains reach_of(const endpoint_directory::map& endpoints,
                                    const core::failure_domain_id& local)
{
    std::set<core::failure_domain_id> others;
    for (const auto& [name, endpoint] : endpoints) {
        others.insert(endpoint.domain);
    }
    others.erase(local);
    return {local, {others.begin(), others.end()}};
}

} // namespace ej::runtime
