#pragma once

#include <core/revision.h>

#include <compare>

namespace ej::config {

/// Asks a peer for what follows a revision.
struct change_request {
    core::revision after;
    bool whole = false; ///< Asks for the whole configuration instead.

    friend auto operator<=>(const change_request&, const change_request&) = default;
};

} // namespace ej::config
