#pragma once

#include <membership/poll_settings.h>

#include <core/endpoint_id.h>
#include <core/vm_id.h>

#include <vector>

namespace ej::membership {

/// The endpoints that `self` polls for their load and whether they leave. `members` are the daemons
/// of the failure domain, `self` among them; `endpoints` those of the failure domain.
[[nodiscard]] std::vector<core::endpoint_id>
endpoints_to_watch(const core::vm_id& self, const std::vector<core::vm_id>& members,
                   const std::vector<core::endpoint_id>& endpoints, const poll_settings& settings);

/// The daemons that ask the platform for its list.
[[nodiscard]] std::vector<core::vm_id> list_pollers(const std::vector<core::vm_id>& members);

} // namespace ej::membership
