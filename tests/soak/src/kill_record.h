#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::soak {

/// A kill of a daemon, up to its next start: meanwhile it owes its callers no answer.
struct kill_record {
    std::size_t daemon = 0;
    core::instant at{};
    core::instant until{};

    friend auto operator<=>(const kill_record&, const kill_record&) = default;
};

} // namespace ej::soak
