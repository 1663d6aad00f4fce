#pragma once

#include <compare>
#include <cstddef>

namespace ej::fairness {

/// Waiting requests of a queue or of one workspace.
struct backlog {
    std::size_t count = 0;
    double work = 0; ///< Sum of their expected work.

    friend auto operator<=>(const backlog&, const backlog&) = default;
};

} // namespace ej::fairness
