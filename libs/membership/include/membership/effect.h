#pragma once

#include <membership/keep_peers.h>
#include <membership/send_delta.h>
#include <membership/send_digest.h>

#include <variant>
#include <vector>

namespace ej::membership {

/// An action that `gossip` requests from its caller.
using effect = std::variant<keep_peers, send_delta, send_digest>;

/// In the order in which they are carried out.
using effects = std::vector<effect>;

} // namespace ej::membership
