#pragma once

#include <forwarding/endpoint_run.h>
#include <forwarding/leaving_notice.h>

#include <compare>
#include <vector>

namespace ej::forwarding {

/// The incarnations that other daemons are told about. Each is told several times, since a datagram
/// may be lost, and then no more. Not thread-safe.
class leaving_announcements {
public:
    /// Number of notices that name an incarnation, the first one included.
    static constexpr int sends = 3;

    /// The first notice about `run`; the others follow from `repeat`.
    [[nodiscard]] leaving_notice add(const endpoint_run& run);

    /// The notices to be sent now; called regularly.
    [[nodiscard]] std::vector<leaving_notice> repeat();

private:
    struct announcement {
        endpoint_run run;
        int left = 0; // Notices that are still to be sent.

        friend auto operator<=>(const announcement&, const announcement&) = default;
    };

    std::vector<announcement> pending_;
};

} // namespace ej::forwarding
