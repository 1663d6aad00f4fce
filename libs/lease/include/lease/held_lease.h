#pragma once

#include <core/fencing_number.h>
#include <core/instant.h>

#include <compare>

namespace ej::lease {

/// A lease that this daemon holds: the exclusive right to act, up to `until` on this process's
/// monotonic clock.
struct held_lease {
    core::fencing_number fencing;
    core::instant until;

    /// False once the platform may have granted the lease to another daemon.
    [[nodiscard]] bool valid_at(core::instant now) const { return now < until; }

    friend auto operator<=>(const held_lease&, const held_lease&) = default;
};

} // namespace ej::lease
