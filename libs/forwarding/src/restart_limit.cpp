#include <forwarding/restart_limit.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

// Requests that waited for the end fill an endpoint at once if nothing limits them, so that it
// refuses most of them and the next backoff begins: its capacity lies idle although there are
// requests. Half of what it held is certainly not too much; compared in docs/design/platform.md.
constexpr std::uint32_t divisor_at_restart = 2;
constexpr std::chrono::seconds doubling_time{1};
constexpr core::duration::rep most_doublings = 16;

} // namespace

std::uint64_t restart_limit(std::uint32_t accepted, core::duration elapsed)
{
    const std::uint64_t first = std::max(accepted / divisor_at_restart, 1U);
    return first << std::clamp<core::duration::rep>(elapsed / doubling_time, 0, most_doublings);
}

} // namespace ej::forwarding
