#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::membership {

/// Timeouts for the state of endpoints.
struct endpoint_settings {
    /// An answer that took longer is outdated, such as one that a paused daemon reads late.
    core::duration max_report_age = std::chrono::seconds(10);
    /// An endpoint removed from the list is gone after this time without contact.
    core::duration gone_after = std::chrono::seconds(30);
    /// Entries of gone incarnations are removed after this time.
    core::duration forget_after = std::chrono::hours(24);
    core::duration first_backoff = std::chrono::milliseconds(500); ///< After a failed connection.
    core::duration max_backoff = std::chrono::seconds(30);

    friend auto operator<=>(const endpoint_settings&, const endpoint_settings&) = default;
};

} // namespace ej::membership
