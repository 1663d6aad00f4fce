#pragma once

#include <membership/capacity_measured.h>
#include <membership/daemons_listed.h>
#include <membership/delta_received.h>
#include <membership/digest_received.h>
#include <membership/drain_started.h>
#include <membership/endpoints_changed.h>
#include <membership/peer_connected.h>
#include <membership/peer_lost.h>
#include <membership/peer_unreachable.h>
#include <membership/tick.h>

#include <variant>

namespace ej::membership {

/// An input of `gossip`.
using event =
    std::variant<tick, peer_connected, peer_lost, peer_unreachable, delta_received, digest_received,
                 endpoints_changed, daemons_listed, capacity_measured, drain_started>;

} // namespace ej::membership
