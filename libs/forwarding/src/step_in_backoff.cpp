#include <forwarding/step_in_backoff.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

// Requests that wait for the same endpoint are sent over this period.
constexpr milliseconds spread{50};
// Another endpoint may be registered during a longer wait.
constexpr milliseconds longest_look{500};
// Callers wait for the time in Retry-After, but at most for a third of the time that they have. If
// that comes first, another daemon, of which no endpoint asked for a pause, may serve them earlier.
constexpr int shares_of_time = 3;
// As in other refusals: by then, endpoints that are full have capacity.
constexpr milliseconds shortest_return{200};
// Callers come back over this fraction of their delay.
constexpr int return_spread_divisor = 4;

/// The part of `whole` that `draw` selects.
core::duration part_of(core::duration whole, std::uint64_t draw)
{
    constexpr std::uint64_t parts = 256;
    return whole / parts * static_cast<core::duration::rep>(draw % parts);
}

} // namespace

backoff_step step_in_backoff(const delayed_request& request, core::instant earliest,
                             core::instant now)
{
    const auto wait =
        std::max(earliest - now, core::duration::zero()) + part_of(spread, request.draw);
    const auto left = request.deadline - now;
    const bool served_here_first =
        request.waited + wait <= (request.waited + left) / shares_of_time;
    if (served_here_first && wait + request.needed <= left) {
        return {true, std::min<core::duration>(wait, longest_look)};
    }
    return {false, return_delay(earliest, request.draw, now)};
}

core::duration return_delay(core::instant earliest, std::uint64_t draw, core::instant now)
{
    const auto delay = std::max<core::duration>(earliest - now, shortest_return);
    return delay + part_of(delay / return_spread_divisor, draw);
}

} // namespace ej::forwarding
