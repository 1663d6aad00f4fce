#pragma once

#include <core/revision.h>
#include <platform/store_item.h>

#include <compare>
#include <vector>

namespace ej::front {

/// Changes that a daemon read from the store, sent to the other daemons of its failure domain.
struct store_update {
    core::revision since;     ///< Revision up to which the receiver must already have all changes.
    core::revision as_of;     ///< Revision that the receiver has reached afterwards.
    bool query_store = false; ///< Too large for a datagram: query the store.
    std::vector<platform::store_item> items; ///< In order of revision.

    friend auto operator<=>(const store_update&, const store_update&) = default;
};

/// Splits `whole` into parts that each fit into a datagram; each part starts at the revision where
/// the previous one ends. With `query_store` the result is one part without items.
[[nodiscard]] std::vector<store_update> split_update(store_update whole);

} // namespace ej::front
