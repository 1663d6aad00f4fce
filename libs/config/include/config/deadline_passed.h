#pragma once

#include <compare>

namespace ej::config {

/// The deadline of the whole submission has passed.
struct deadline_passed {
    friend auto operator<=>(const deadline_passed&, const deadline_passed&) = default;
};

} // namespace ej::config
