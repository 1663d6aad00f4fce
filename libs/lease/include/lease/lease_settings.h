#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::lease {

/// Intervals and timeouts of one lease.
struct lease_settings {
    core::duration ttl = std::chrono::seconds(6); ///< Requested; > `renew_every`.
    core::duration renew_every = std::chrono::seconds(2);
    core::duration call_timeout = std::chrono::seconds(2); ///< Then a call counts as lost.
    core::duration retry_every = std::chrono::seconds(1);  ///< Between attempts to acquire.

    friend auto operator<=>(const lease_settings&, const lease_settings&) = default;
};

} // namespace ej::lease
