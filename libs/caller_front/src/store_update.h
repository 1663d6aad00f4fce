#pragma once

#include <core/revision.h>
#include <platform/store_item.h>

#include <compare>
#include <vector>

namespace ej::front {

/// What a daemon read from the store just now, told to the others of its failure domain.
struct store_update {
    core::revision since; ///< What a receiver has to know already.
    core::revision as_of; ///< What it knows then.
    bool query_store =
        false; ///< More has changed than a datagram holds: the store has to be asked.
    std::vector<platform::store_item> items; ///< By revision.

    friend auto operator<=>(const store_update&, const store_update&) = default;
};

/// `whole` in parts that a datagram can hold, each going on from the one before. News that are to
/// be asked for have one part without items.
[[nodiscard]] std::vector<store_update> split_update(store_update whole);

} // namespace ej::front
