#pragma once

#include <core/fencing_number.h>
#include <core/instant.h>

#include <compare>

namespace ej::lease {

/// The right to act as the one holder, up to `until` on this process's monotonic clock.
struct held_lease {
    core::fencing_number fencing;
    core::instant until;

    /// False once the platform may have given the lease to another.
    [[nodiscard]] bool valid_at(core::instant now) const { return now < until; }

    friend auto operator<=>(const held_lease&, const held_lease&) = default;
};

} // namespace ej::lease
