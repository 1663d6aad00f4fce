#pragma once

#include <peer_wire/opaque_message.h>

#include <membership/delta.h>
#include <membership/digest_table.h>

#include <variant>

namespace ej::peer_wire {

/// A message between daemons.
using message = std::variant<membership::delta, membership::digest_table, opaque_message>;

} // namespace ej::peer_wire
