#pragma once

#include <suspects/part_digest.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// Parts that were suspected until a request with them had output. Daemons send them to each other.
struct cleared_parts {
    std::vector<part_digest> parts;

    friend auto operator<=>(const cleared_parts&, const cleared_parts&) = default;
};

} // namespace ej::suspects
