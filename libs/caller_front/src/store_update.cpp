#include "store_update.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace ej::front {

namespace {

// An item has about 250 bytes.
constexpr std::ptrdiff_t items_per_datagram = 20;

} // namespace

std::vector<store_update> split_update(store_update whole)
{
    if (whole.query_store) {
        whole.items.clear();
        return {std::move(whole)};
    }
    std::ranges::sort(whole.items, {}, &platform::store_item::revision);
    std::vector<store_update> parts;
    auto begin = whole.items.begin();
    auto since = whole.since;
    while (whole.items.end() - begin > items_per_datagram) {
        const auto end = begin + items_per_datagram;
        const auto as_of = std::prev(end)->revision;
        parts.push_back({since, as_of, false, {begin, end}});
        begin = end;
        since = as_of;
    }
    parts.push_back({since, whole.as_of, false, {begin, whole.items.end()}});
    return parts;
}

} // namespace ej::front
