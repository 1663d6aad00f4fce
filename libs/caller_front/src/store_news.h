#pragma once

#include <core/revision.h>
#include <platform/store_item.h>

#include <compare>
#include <vector>

namespace ej::front {

/// What a daemon read from the store just now, told to the others of its failure domain.
struct store_news {
    core::revision since; ///< What a receiver has to know already.
    core::revision as_of; ///< What it knows then.
    bool ask = false;     ///< More has changed than a datagram holds: the store has to be asked.
    std::vector<platform::store_item> items; ///< By revision.

    friend auto operator<=>(const store_news&, const store_news&) = default;
};

/// `whole` in parts that a datagram can hold, each going on from the one before. News that are to
/// be asked for have one part without items.
[[nodiscard]] std::vector<store_news> parts_of(store_news whole);

} // namespace ej::front
