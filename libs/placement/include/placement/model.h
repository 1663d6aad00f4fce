#pragma once

#include <placement/model_id.h>

#include <compare>
#include <cstdint>

namespace ej::placement {

/// A model as the weight store describes it.
struct model {
    model_id name;
    std::uint64_t megabytes = 0; ///< Of weights: read from the store, held in an engine's memory.

    friend auto operator<=>(const model&, const model&) = default;
};

} // namespace ej::placement
