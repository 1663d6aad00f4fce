#pragma once

#include <suspects/death_id.h>
#include <suspects/request_digest.h>

#include <algorithm>
#include <compare>
#include <vector>

namespace ej::suspects {

/// A death of an endpoint and the requests that daemons were running there. Daemons send it to each
/// other.
struct death_record {
    death_id death;
    std::vector<request_digest> running; ///< Without output so far. Sorted, without duplicates.
    std::vector<request_digest> flowing; ///< After output. Sorted, without duplicates.

    /// True if no request ran there.
    [[nodiscard]] bool empty() const { return running.empty() && flowing.empty(); }

    /// True if `request` ran there.
    [[nodiscard]] bool lists(request_digest request) const
    {
        return std::ranges::binary_search(running, request) ||
               std::ranges::binary_search(flowing, request);
    }

    friend auto operator<=>(const death_record&, const death_record&) = default;
};

} // namespace ej::suspects
