#include "shared_parts.h"

#include <algorithm>
#include <iterator>

namespace ej::front {

std::vector<suspects::part_digest> shared_parts_of(const prompt_part_list& listed)
{
    std::vector<suspects::part_digest> shared;
    std::ranges::transform(
        listed.parts, std::back_inserter(shared),
        [](const forwarding::prompt_part& one) { return suspects::part_digest(one.id.value()); });
    if (!shared.empty() && !listed.last_unread) {
        shared.pop_back();
    }
    std::ranges::sort(shared);
    const auto repeats = std::ranges::unique(shared);
    shared.erase(repeats.begin(), repeats.end());
    return shared;
}

} // namespace ej::front
