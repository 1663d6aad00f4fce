#pragma once

#include <suspects/request_digest.h>

#include <core/vm_id.h>

#include <optional>
#include <span>

namespace ej::suspects {

/// The daemon among `members` that runs an isolated request, equal at all daemons that see the
/// same members (rendezvous hashing). Empty without members.
[[nodiscard]] std::optional<core::vm_id> owner(request_digest request,
                                               std::span<const core::vm_id> members);

} // namespace ej::suspects
