#pragma once

#include <compare>
#include <string>

namespace ej::metrics {

/// A name and value that tells series of one metric apart.
struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

} // namespace ej::metrics
