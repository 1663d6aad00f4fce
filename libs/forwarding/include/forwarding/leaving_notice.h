#pragma once

#include <forwarding/endpoint_run.h>

#include <compare>
#include <cstddef>
#include <vector>

namespace ej::forwarding {

/// Tells the other daemons of a failure domain that endpoints have said in their answers that they
/// leave.
struct leaving_notice {
    /// Limit for one notice, which then fits into a datagram of 1,500 bytes if names are short.
    static constexpr std::size_t max_runs = 25;

    std::vector<endpoint_run> runs; ///< From 1 to `max_runs`.

    friend auto operator<=>(const leaving_notice&, const leaving_notice&) = default;
};

} // namespace ej::forwarding
