#include <membership/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

namespace ej::membership {

std::vector<core::vm_id> choose_by_rendezvous(std::string_view key,
                                              const std::vector<core::vm_id>& members,
                                              std::size_t count)
{
    using scored = std::pair<std::uint64_t, core::vm_id>;
    const auto key_hash = XXH3_64bits(key.data(), key.size());
    std::vector<scored> ranking;
    std::ranges::transform(members, std::back_inserter(ranking), [&](const core::vm_id& member) {
        const auto& text = member.text();
        return scored(XXH3_64bits_withSeed(text.data(), text.size(), key_hash), member);
    });
    const auto chosen = std::min(count, ranking.size());
    const auto middle = ranking.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::ranges::partial_sort(ranking, middle, std::greater{});
    std::vector<core::vm_id> best;
    std::transform(ranking.begin(), middle, std::back_inserter(best),
                   [](const scored& entry) { return entry.second; });
    return best;
}

} // namespace ej::membership
