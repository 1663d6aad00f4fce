#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <cstdint>

namespace ej::fairness {

/// Position of a waiting request in the queue.
struct position {
    core::workspace_id workspace;
    std::int64_t sequence = 0;

    friend auto operator<=>(const position&, const position&) = default;
};

} // namespace ej::fairness
