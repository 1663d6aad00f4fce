#pragma once

#include <suspects/held_part.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// Parts that a daemon holds back. Daemons send them to each other.
struct held_parts {
    std::vector<held_part> parts;

    friend auto operator<=>(const held_parts&, const held_parts&) = default;
};

} // namespace ej::suspects
