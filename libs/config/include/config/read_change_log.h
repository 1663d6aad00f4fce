#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::config {

/// Read the log of changes from the platform's service.
struct read_change_log {
    core::duration delay{}; ///< Time to wait before the read; >= 0.

    friend auto operator<=>(const read_change_log&, const read_change_log&) = default;
};

} // namespace ej::config
