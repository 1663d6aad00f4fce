#pragma once

#include <compare>
#include <string>

namespace ej::logging {

/// A named value in a structured log line.
struct field {
    std::string name;
    std::string value;

    friend auto operator<=>(const field&, const field&) = default;
};

} // namespace ej::logging
