#pragma once

#include <suspects/request_digest.h>

#include <core/vm_id.h>

#include <optional>
#include <span>

namespace ej::suspects {

/// Returns the member that runs an isolated request, chosen by rendezvous hashing: all daemons with
/// the same members choose the same one. Empty if `members` is empty.
[[nodiscard]] std::optional<core::vm_id> owner(request_digest request,
                                               std::span<const core::vm_id> members);

} // namespace ej::suspects
