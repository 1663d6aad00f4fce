#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::membership {

/// Bounds on what is believed of endpoints.
struct endpoint_settings {
    /// An answer that took longer says nothing of the present; a paused daemon reads such ones.
    core::duration max_report_age = std::chrono::seconds(10);
    /// An endpoint that left the list is gone after this time without contact.
    core::duration gone_after = std::chrono::seconds(30);
    /// Entries of gone incarnations are forgotten after it.
    core::duration forget_after = std::chrono::hours(24);
    core::duration first_backoff = std::chrono::milliseconds(500); ///< After a failed connection.
    core::duration max_backoff = std::chrono::seconds(30);

    friend auto operator<=>(const endpoint_settings&, const endpoint_settings&) = default;
};

} // namespace ej::membership
