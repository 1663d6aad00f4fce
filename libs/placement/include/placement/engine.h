#pragma once

#include <placement/model_id.h>

#include <core/endpoint_id.h>

#include <compare>
#include <cstdint>
#include <set>

namespace ej::placement {

/// An engine's state as last read.
struct engine {
    core::endpoint_id name;
    std::uint64_t megabytes = 0; ///< Memory for weights.
    std::set<model_id> loaded;   ///< Models that it has loaded or is loading.

    friend auto operator<=>(const engine&, const engine&) = default;
};

} // namespace ej::placement
