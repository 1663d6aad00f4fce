#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// A request that no endpoint accepts now.
struct delayed_request {
    core::instant deadline;
    core::duration needed{}; ///< Usual time from its send to its first output.
    core::duration waited{}; ///< Time that it has waited for an endpoint at this daemon.
    std::uint64_t draw = 0;  ///< Differs between requests.

    friend auto operator<=>(const delayed_request&, const delayed_request&) = default;
};

} // namespace ej::forwarding
