#pragma once

#include <compare>

namespace ej::config {

/// The time for the whole operation is over.
struct deadline_passed {
    friend auto operator<=>(const deadline_passed&, const deadline_passed&) = default;
};

} // namespace ej::config
