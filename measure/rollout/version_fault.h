#pragma once

#include <string_view>

namespace ej::measure {

/// How a new version is bad.
struct version_fault {
    std::string_view name;
    double failing = 0; ///< Part of its answers that are failures.
    double slow = 0;    ///< Part of its answers that take `slowness` times as long.
    double slowness = 3;
    double from = 0;        ///< Part of the order's time after which it is bad.
    bool one_route = false; ///< On one route of two only.
    bool loaded = false; ///< Only at endpoints that get nearly as much as those of other versions.

    [[nodiscard]] bool is_good() const { return failing == 0 && slow == 0; }
};

} // namespace ej::measure
