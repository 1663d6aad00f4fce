#pragma once

#include <membership/leaving_endpoint.h>
#include <membership/member_entry.h>
#include <membership/service_capacity.h>
#include <membership/summary_version.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// The state of one failure domain that is sent to the others. The greater of two summaries of one
/// domain is newer; the order of the fields decides.
struct domain_summary {
    core::failure_domain_id domain;
    summary_version version;
    core::vm_id author;
    std::vector<member_entry> bridges; ///< Daemons that exchange summaries with other domains.
    std::vector<service_capacity> capacities; ///< Sorted by service.
    std::vector<leaving_endpoint> leaving;    ///< At most `max_summary_leaving`.

    friend auto operator<=>(const domain_summary&, const domain_summary&) = default;
};

/// Limit of endpoints that one summary lists as leaving.
inline constexpr std::size_t max_summary_leaving = 64;

} // namespace ej::membership
