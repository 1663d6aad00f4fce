#include <config/change_log.h>

#include <numeric>

namespace ej::config {

namespace {

std::ptrdiff_t changes_until(const change_log& log, core::revision revision)
{
    return static_cast<std::ptrdiff_t>(revision.value() - log.after.value());
}

} // namespace

history_digest history_at(const change_log& log, core::revision revision)
{
    const auto first = log.changes.begin();
    return std::accumulate(first, first + changes_until(log, revision), log.history,
                           [](history_digest before, const committed_change& next) {
                               return extend(before, next.made.id);
                           });
}

change_log since(const change_log& log, core::revision revision)
{
    const auto first = log.changes.begin() + changes_until(log, revision);
    return {revision, history_at(log, revision), {first, log.changes.end()}};
}

change_log append(const change_log& log, const change& made)
{
    change_log longer = log;
    longer.changes.push_back({log.last().next(), made});
    return longer;
}

} // namespace ej::config
