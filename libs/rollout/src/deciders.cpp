#include <rollout/deciders.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

namespace ej::rollout {

std::vector<core::vm_id> deciders_for(const core::service_id& service,
                                      const std::vector<core::vm_id>& members)
{
    const auto seed = XXH3_64bits(service.text().data(), service.text().size());
    std::vector<std::pair<std::uint64_t, core::vm_id>> scored;
    scored.reserve(members.size());
    for (const core::vm_id& one : members) {
        scored.emplace_back(XXH3_64bits_withSeed(one.text().data(), one.text().size(), seed), one);
    }
    std::ranges::sort(scored, std::greater<>());
    scored.resize(std::min(scored.size(), decider_count));
    std::vector<core::vm_id> chosen;
    std::ranges::transform(scored, std::back_inserter(chosen),
                           &decltype(scored)::value_type::second);
    return chosen;
}

} // namespace ej::rollout
