#pragma once

#include <suspects/request_death.h>
#include <suspects/request_digest.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// The deaths that count against one request.
struct request_evidence {
    request_digest request;
    std::vector<request_death> deaths; ///< Sorted, without duplicates.

    friend auto operator<=>(const request_evidence&, const request_evidence&) = default;
};

} // namespace ej::suspects
