#pragma once

#include <suspects/request_digest.h>

#include <core/vm_id.h>

#include <cstddef>
#include <optional>
#include <span>

namespace ej::suspects {

/// Returns the member that runs an isolated request, chosen by rendezvous hashing: all daemons with
/// the same members choose the same one. Empty if `members` is empty.
[[nodiscard]] std::optional<core::vm_id> owner(request_digest request,
                                               std::span<const core::vm_id> members);

/// Number of members that come before `self` in the order of which `owner` is the first.
[[nodiscard]] std::size_t owner_rank(request_digest request, const core::vm_id& self,
                                     std::span<const core::vm_id> members);

} // namespace ej::suspects
