#pragma once

#include <compare>

namespace ej::retry {

/// An attempt that certainly did not run: refused by the endpoint, or not sent completely.
struct not_run {
    friend auto operator<=>(const not_run&, const not_run&) = default;
};

} // namespace ej::retry
