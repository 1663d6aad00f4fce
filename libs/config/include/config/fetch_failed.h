#pragma once

#include <compare>

namespace ej::config {

/// A read from the platform's service failed or timed out.
struct fetch_failed {
    friend auto operator<=>(const fetch_failed&, const fetch_failed&) = default;
};

} // namespace ej::config
