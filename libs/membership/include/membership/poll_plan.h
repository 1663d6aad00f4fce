#pragma once

#include <membership/poll_settings.h>

#include <core/endpoint_id.h>
#include <core/vm_id.h>

#include <vector>

namespace ej::membership {

/// The endpoints that `self` polls for their load and whether they are leaving. `members` are the
/// daemons of the failure domain, including `self`; `endpoints` are those of the failure domain.
[[nodiscard]] std::vector<core::endpoint_id>
endpoints_to_poll(const core::vm_id& self, const std::vector<core::vm_id>& members,
                  const std::vector<core::endpoint_id>& endpoints, const poll_settings& settings);

/// The daemons that poll the platform's list.
[[nodiscard]] std::vector<core::vm_id> list_pollers(const std::vector<core::vm_id>& members);

} // namespace ej::membership
