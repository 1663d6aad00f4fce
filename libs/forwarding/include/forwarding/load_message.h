#pragma once

#include <forwarding/budget_share.h>
#include <forwarding/load_share.h>

#include <core/vm_id.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::forwarding {

/// What a daemon tells the others of its load. Messages may be lost or arrive out of order.
struct load_message {
    core::vm_id from;
    std::uint64_t start = 0;  ///< Differs between two runs of the daemon.
    std::uint64_t number = 0; ///< Grows with each message of a run.
    bool whole = false;       ///< The daemon has no load at endpoints that are not named.
    std::vector<load_share> shares;
    std::vector<budget_share> budget; ///< Of all services that it sends to.

    friend auto operator<=>(const load_message&, const load_message&) = default;
};

} // namespace ej::forwarding
