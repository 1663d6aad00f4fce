#pragma once

#include <membership/leaving_endpoint.h>
#include <membership/member_entry.h>
#include <membership/service_capacity.h>
#include <membership/summary_version.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// All that other failure domains are told of one. The order of the fields is the order of
/// precedence of two summaries of one domain.
struct domain_summary {
    core::failure_domain_id domain;
    summary_version version;
    core::vm_id author;
    std::vector<member_entry> bridges;        ///< Daemons that take messages from other domains.
    std::vector<service_capacity> capacities; ///< Sorted by service.
    std::vector<leaving_endpoint> leaving;    ///< At most `max_summary_leaving`.

    friend auto operator<=>(const domain_summary&, const domain_summary&) = default;
};

/// Most endpoints that one summary names as leaving.
inline constexpr std::size_t max_summary_leaving = 64;

} // namespace ej::membership
