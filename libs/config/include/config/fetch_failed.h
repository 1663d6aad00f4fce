#pragma once

#include <compare>

namespace ej::config {

/// A read of the platform's service had no answer in time.
struct fetch_failed {
    friend auto operator<=>(const fetch_failed&, const fetch_failed&) = default;
};

} // namespace ej::config
