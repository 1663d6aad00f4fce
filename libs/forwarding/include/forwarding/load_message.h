#pragma once

#include <forwarding/load_share.h>
#include <forwarding/service_share.h>

#include <core/vm_id.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::forwarding {

/// A daemon's load, sent to its peers. Messages may be lost or arrive out of order.
struct load_message {
    core::vm_id from;
    std::uint64_t start = 0;  ///< Differs after each restart of the daemon.
    std::uint64_t number = 0; ///< Increases with each message until the daemon restarts.
    bool whole = false;       ///< The daemon has no load at endpoints that are not listed.
    std::vector<load_share> shares;
    std::vector<service_share> services; ///< All services that the daemon sends to.

    friend auto operator<=>(const load_message&, const load_message&) = default;
};

} // namespace ej::forwarding
