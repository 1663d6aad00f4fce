#pragma once

#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// Event: the last connection to a daemon was closed.
struct peer_lost {
    core::vm_id vm;
    bool failed = true; ///< False when either end closed it on purpose because it was unused.

    friend auto operator<=>(const peer_lost&, const peer_lost&) = default;
};

} // namespace ej::membership
