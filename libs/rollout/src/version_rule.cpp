#include <rollout/version_rule.h>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace ej::rollout {

std::vector<core::endpoint> preferred_of(const std::vector<core::endpoint>& all,
                                         const version_rule& rule)
{
    std::vector<core::endpoint> found;
    std::ranges::copy_if(all, std::back_inserter(found),
                         [&](const core::endpoint& one) { return rule.prefers(one.version); });
    if (rule.prefers_target && rule.narrowed_to < whole_share) {
        const auto others = all.size() - found.size();
        const auto count = (others * rule.narrowed_to + whole_share - 1) / whole_share;
        found.resize(
            std::clamp<std::size_t>(count, std::min<std::size_t>(found.size(), 1), found.size()));
    }
    return found;
}

std::vector<core::endpoint> others_of(const std::vector<core::endpoint>& all,
                                      const version_rule& rule)
{
    std::vector<core::endpoint> found;
    std::ranges::copy_if(all, std::back_inserter(found),
                         [&](const core::endpoint& one) { return !rule.prefers(one.version); });
    return found;
}

} // namespace ej::rollout
