#include "shared_parts.h"

#include "prompt_parts.h"

#include <algorithm>
#include <iterator>

namespace ej::front {

std::vector<suspects::part_digest> shared_parts_of(const caller_request& incoming,
                                                   const header_names& names)
{
    auto all = prompt_parts_of(incoming, names);
    if (!all.empty()) {
        all.pop_back();
    }
    std::vector<suspects::part_digest> shared;
    std::ranges::transform(all, std::back_inserter(shared), [](const forwarding::prompt_part& one) {
        return suspects::part_digest(one.id.value());
    });
    std::ranges::sort(shared);
    const auto repeats = std::ranges::unique(shared);
    shared.erase(repeats.begin(), repeats.end());
    return shared;
}

} // namespace ej::front
