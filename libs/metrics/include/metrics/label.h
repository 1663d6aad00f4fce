#pragma once

#include <compare>
#include <string>

namespace ej::metrics {

/// A name and value that distinguishes time series of one metric.
struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

} // namespace ej::metrics
