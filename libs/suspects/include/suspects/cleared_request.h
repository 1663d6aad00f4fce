#pragma once

#include <suspects/request_digest.h>

#include <compare>

namespace ej::suspects {

/// A request under which endpoints died and that finished since: it was not what killed them.
/// Daemons share it as a message.
struct cleared_request {
    request_digest request;

    friend auto operator<=>(const cleared_request&, const cleared_request&) = default;
};

} // namespace ej::suspects
