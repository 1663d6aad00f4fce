#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::suspects {

/// A death in a `death_index`.
struct dated_death {
    std::size_t domain = 0; ///< Number of the failure domain in the index.
    core::instant at{};

    friend auto operator<=>(const dated_death&, const dated_death&) = default;
};

} // namespace ej::suspects
