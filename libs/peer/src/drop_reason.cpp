#include <peer/drop_reason.h>

#include <array>

namespace ej::peer {

namespace {

constexpr std::array<const char*, drop_reason_count> names{
    "closed", "idle", "silent", "malformed", "too_large", "unauthenticated", "slow"};

} // namespace

const char* to_string(drop_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace ej::peer
