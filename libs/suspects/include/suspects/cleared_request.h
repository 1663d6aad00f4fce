#pragma once

#include <suspects/request_digest.h>

#include <compare>

namespace ej::suspects {

/// A request that was running when endpoints died and has finished since, so it did not cause the
/// deaths. Daemons send it to each other.
struct cleared_request {
    request_digest request;

    friend auto operator<=>(const cleared_request&, const cleared_request&) = default;
};

} // namespace ej::suspects
