#pragma once

#include <suspects/part_digest.h>
#include <suspects/request_digest.h>

#include <compare>
#include <vector>

namespace ej::front {

/// What may have crashed an endpoint: a request or, before its output, a part of its prompt.
struct suspect_request {
    suspects::request_digest digest;
    bool had_output = false;
    std::vector<suspects::part_digest> parts; ///< Sorted, without duplicates.

    friend auto operator<=>(const suspect_request&, const suspect_request&) = default;
};

} // namespace ej::front
