#include "store_news.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace ej::front {

namespace {

// About 250 bytes each.
constexpr std::size_t items_per_datagram = 20;

} // namespace

std::vector<store_news> parts_of(store_news whole)
{
    if (whole.ask) {
        whole.items.clear();
        return {std::move(whole)};
    }
    std::ranges::sort(whole.items, {}, &platform::store_item::revision);
    std::vector<store_news> parts;
    while (whole.items.size() > items_per_datagram) {
        const auto end = whole.items.begin() + items_per_datagram;
        store_news part = whole;
        part.items.assign(whole.items.begin(), end);
        part.as_of = part.items.back().revision;
        whole.since = part.as_of;
        whole.items.erase(whole.items.begin(), end);
        parts.push_back(std::move(part));
    }
    parts.push_back(std::move(whole));
    return parts;
}

} // namespace ej::front
