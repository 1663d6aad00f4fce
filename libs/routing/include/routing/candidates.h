#pragma once

#include <routing/endpoint_view.h>

#include <cstdint>
#include <span>

namespace ej::routing {

/// Input of a router: all endpoints of a pool and the indexes of those with free capacity.
struct candidates {
    std::span<const endpoint_view> all;
    std::span<const std::uint32_t> open; ///< Indexes into `all`.
    std::uint64_t turn = 0;              ///< Number of earlier choices in this pool.

    /// The endpoint at `position` of `open`.
    [[nodiscard]] const endpoint_view& with_room(std::size_t position) const
    {
        return all[open[position]];
    }
};

} // namespace ej::routing
