#include <config/tail.h>

#include <numeric>

namespace ej::config {

namespace {

std::ptrdiff_t changes_until(const tail& log, core::revision revision)
{
    return static_cast<std::ptrdiff_t>(revision.value() - log.after.value());
}

} // namespace

history_digest history_at(const tail& log, core::revision revision)
{
    const auto first = log.changes.begin();
    return std::accumulate(first, first + changes_until(log, revision), log.history,
                           [](history_digest before, const committed_change& next) {
                               return extend(before, next.made.id);
                           });
}

tail since(const tail& log, core::revision revision)
{
    const auto first = log.changes.begin() + changes_until(log, revision);
    return {revision, history_at(log, revision), {first, log.changes.end()}};
}

tail append(const tail& log, const change& made)
{
    tail longer = log;
    longer.changes.push_back({log.last().next(), made});
    return longer;
}

} // namespace ej::config
