#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::config {

/// Read the log of changes from the platform's service.
struct read_tail {
    core::duration delay{}; ///< Time to wait before the read; >= 0.

    friend auto operator<=>(const read_tail&, const read_tail&) = default;
};

} // namespace ej::config
