#include <overload/look_interval.h>

#include <algorithm>
#include <chrono>

namespace ej::overload {

namespace {

using std::chrono::milliseconds;

// A place is taken by the first daemon that looks. The others learn of it within this time, during
// which few of them should look.
constexpr milliseconds report_delay{6};
constexpr milliseconds shortest{25};
constexpr milliseconds longest{250};

} // namespace

core::duration look_interval(std::size_t daemons, std::uint64_t draw)
{
    const auto mean = std::clamp<core::duration>(report_delay * daemons, shortest, longest);
    constexpr std::uint64_t parts = 256;
    // From half of the mean to one and a half.
    return mean / 2 + mean / parts * static_cast<core::duration::rep>(draw % parts);
}

} // namespace ej::overload
