#pragma once

#include <core/service_id.h>
#include <core/vm_id.h>

#include <cstddef>
#include <vector>

namespace ej::rollout {

/// Daemons that collect the reports on one roll-out and take its steps. The second and third take
/// over when those before them do nothing.
inline constexpr std::size_t decider_count = 3;

/// The deciders for `service` among `members`, in their order, by rendezvous hashing: all daemons
/// with the same members find the same ones.
[[nodiscard]] std::vector<core::vm_id> deciders_for(const core::service_id& service,
                                                    const std::vector<core::vm_id>& members);

} // namespace ej::rollout
