#include <suspects/owner.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ej::suspects {

std::optional<core::vm_id> owner(request_digest request, std::span<const core::vm_id> members)
{
    if (members.empty()) {
        return std::nullopt;
    }
    const auto score = [&](const core::vm_id& member) {
        return XXH3_64bits_withSeed(member.text().data(), member.text().size(), request.value());
    };
    return *std::ranges::max_element(members, {}, score);
}

} // namespace ej::suspects
