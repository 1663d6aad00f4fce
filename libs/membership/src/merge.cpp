#include <membership/merge.h>

#include <algorithm>

namespace ej::membership {

// The higher boot number takes precedence, then the higher version, then the worse state. A daemon
// that refutes a suspicion raises its version, so entries that a paused daemon still has are older.
member_entry merge(const member_entry& left, const member_entry& right)
{
    return std::max(left, right);
}

// `leaving` is merged independently of the generation, so that nothing revokes it.
endpoint_entry merge(const endpoint_entry& left, const endpoint_entry& right)
{
    const auto precedence = [](const endpoint_entry& entry) {
        return std::pair(entry.observed_generation, entry.gone);
    };
    const auto [observed_generation, gone] = std::max(precedence(left), precedence(right));
    return {std::max(left.endpoint, right.endpoint), observed_generation, gone,
            left.leaving || right.leaving};
}

domain_summary merge(const domain_summary& left, const domain_summary& right)
{
    return std::max(left, right);
}

} // namespace ej::membership
