#pragma once

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::routing {

/// The properties of a request that the choice of an endpoint depends on.
struct request_features {
    double work = 1;          ///< Expected tokens, or 1 for a plain call; > 0.
    std::uint64_t prefix = 0; ///< Hash of the prompt's prefix; 0 for none.
    bool urgent = false;      ///< Engines run it before requests that are not urgent.
    core::instant finish_by{core::instant::max()}; ///< When the class's target ends.
    std::vector<core::endpoint_id> lost_at{};      ///< Where earlier attempts failed.

    friend auto operator<=>(const request_features&, const request_features&) = default;
};

} // namespace ej::routing
