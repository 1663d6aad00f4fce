#pragma once

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// Requests the changes after a revision from a peer.
struct change_request {
    core::revision after;
    bool whole = false; ///< Requests the whole configuration instead.

    friend auto operator<=>(const change_request&, const change_request&) = default;
};

} // namespace ej::config
