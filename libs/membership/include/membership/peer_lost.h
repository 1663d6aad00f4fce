#pragma once

#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// The last connection to a daemon was lost.
struct peer_lost {
    core::vm_id vm;
    bool failed = true; ///< False when an end closed it on purpose, for want of use.

    friend auto operator<=>(const peer_lost&, const peer_lost&) = default;
};

} // namespace ej::membership
