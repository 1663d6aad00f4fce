#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::front {

/// Times of a daemon that leaves.
struct leave_schedule {
    core::instant noticed; ///< The balancer sends no new callers from here on, if it has others.
    core::instant end;     ///< The process is gone.

    friend auto operator<=>(const leave_schedule&, const leave_schedule&) = default;
};

} // namespace ej::front
