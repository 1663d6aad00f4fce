#pragma once

#include <compare>
#include <string>

namespace ej::core {

/// One fault found in an input, with its location in that input ("--listen", "classes[2].target").
struct finding {
    std::string place;
    std::string message;

    friend auto operator<=>(const finding&, const finding&) = default;
};

} // namespace ej::core
