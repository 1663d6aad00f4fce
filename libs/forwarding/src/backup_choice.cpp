#include <forwarding/backup_choice.h>

#include <tuple>

namespace ej::forwarding {

std::optional<std::size_t> choose_backup(std::span<const candidate> from,
                                         const core::endpoint& runner, std::uint64_t turn,
                                         core::instant now)
{
    using rank = std::tuple<bool, bool, double>;
    std::optional<std::size_t> best;
    rank best_rank;
    for (std::size_t step = 0; step < from.size(); ++step) {
        const std::size_t index = (turn + step) % from.size();
        const candidate& one = from[index];
        if (one.what.name == runner.name || !one.stats.accepts_requests(now)) {
            continue;
        }
        const rank here{one.stats.avoid_until > now, one.what.domain == runner.domain,
                        one.stats.slowness * double(one.stats.in_flight + 1)};
        if (!best || here < best_rank) {
            best = index;
            best_rank = here;
        }
    }
    return best;
}

} // namespace ej::forwarding
