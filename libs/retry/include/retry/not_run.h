#pragma once

#include <compare>

namespace ej::retry {

/// An attempt that is known not to have run: refused by the endpoint, or never sent whole.
struct not_run {
    friend auto operator<=>(const not_run&, const not_run&) = default;
};

} // namespace ej::retry
