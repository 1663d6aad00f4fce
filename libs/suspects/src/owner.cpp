#include <suspects/owner.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace ej::suspects {

namespace {

std::uint64_t score(request_digest request, const core::vm_id& member)
{
    return XXH3_64bits_withSeed(member.text().data(), member.text().size(), request.value());
}

} // namespace

std::optional<core::vm_id> owner(request_digest request, std::span<const core::vm_id> members)
{
    if (members.empty()) {
        return std::nullopt;
    }
    return *std::ranges::max_element(
        members, {}, [&](const core::vm_id& member) { return score(request, member); });
}

std::size_t owner_rank(request_digest request, const core::vm_id& self,
                       std::span<const core::vm_id> members)
{
    const auto own = score(request, self);
    return static_cast<std::size_t>(std::ranges::count_if(
        members, [&](const core::vm_id& member) { return score(request, member) > own; }));
}

} // namespace ej::suspects
