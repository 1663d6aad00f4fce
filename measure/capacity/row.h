#pragma once

#include <string>

namespace ej::measure {

/// One line of the capacity table.
struct row {
    std::string role;
    std::string what;
    std::string arithmetic;
    double value = 0;
    std::string unit;
    std::string mechanism;
};

} // namespace ej::measure
