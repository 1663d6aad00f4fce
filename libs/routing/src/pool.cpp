#include <routing/pool.h>

#include <routing/estimate.h>
#include <routing/view_changes.h>

#include <algorithm>

namespace ej::routing {

void pool::add(const core::endpoint& endpoint, const limits::limiter& limiter,
               const limits::daemon_share& share, core::instant now)
{
    const auto [entry, added] =
        index_.try_emplace(endpoint.name, static_cast<std::uint32_t>(views_.size()));
    if (added) {
        views_.push_back({.limit = 0});
    }
    replace(entry->second, new_view(endpoint, limiter, share, now));
}

void pool::remove(const core::endpoint_id& name)
{
    const auto found = index_.find(name);
    if (found == index_.end()) {
        return;
    }
    const std::uint32_t index = found->second;
    const auto last = static_cast<std::uint32_t>(views_.size() - 1);
    const endpoint_view moved = views_[last];
    replace(last, {.limit = 0});
    if (index != last) {
        replace(index, moved);
        index_[moved.name] = index;
    }
    views_.pop_back();
    index_.erase(name);
    close(last); // A view with limit 0 may still be open for urgent requests.
}

void pool::report(const load_report& report, const limits::limiter& limiter,
                  const limits::daemon_share& share)
{
    const auto found = index_.find(report.name);
    if (found != index_.end()) {
        replace(found->second, with_report(views_[found->second], report, limiter, share));
    }
}

std::optional<core::endpoint_id> pool::acquire(const request_features& request,
                                               const router& router, std::uint64_t seed,
                                               core::instant now)
{
    unblock_due(now);
    const auto passed_over = indexes_of(request.lost_at);
    std::ranges::for_each(passed_over, [&](std::uint32_t index) { close(index); });
    auto chosen = choose(request, router, seed, now);
    std::ranges::for_each(passed_over, [&](std::uint32_t index) { update_open(index); });
    if (!chosen) {
        return std::nullopt;
    }
    ++turn_;
    const std::uint32_t index = index_.at(*chosen);
    replace(index, with_sent(views_[index], request.urgent));
    return chosen;
}

std::optional<core::endpoint_id> pool::choose(const request_features& request, const router& router,
                                              std::uint64_t seed, core::instant now) const
{
    // Urgent requests exceed the limits only if no endpoint has free capacity within them.
    const bool past_limit = request.urgent && open_.members().empty();
    const candidates from{views_, past_limit ? urgent_open_.members() : open_.members(), turn_};
    return router.choose(from, request, random_stream(seed), now);
}

std::vector<std::uint32_t> pool::indexes_of(const std::vector<core::endpoint_id>& names) const
{
    std::vector<std::uint32_t> indexes;
    for (const core::endpoint_id& name : names) {
        if (const auto found = index_.find(name); found != index_.end()) {
            indexes.push_back(found->second);
        }
    }
    return indexes;
}

void pool::release(const core::endpoint_id& name, const outcome& outcome, bool urgent,
                   core::instant now)
{
    const auto found = index_.find(name);
    if (found == index_.end()) {
        return;
    }
    replace(found->second, with_outcome(views_[found->second], outcome, urgent, now));
    if (const auto until = views_[found->second].blocked_until) {
        blocked_.emplace_back(*until, name);
    }
}

std::optional<endpoint_view> pool::view(const core::endpoint_id& name) const
{
    const auto found = index_.find(name);
    if (found == index_.end()) {
        return std::nullopt;
    }
    return views_[found->second];
}

pool_summary pool::summary(core::instant now)
{
    unblock_due(now);
    const double mean = work_per_second_ > 0 ? squared_rates_ / work_per_second_ : 0;
    return {std::max(work_per_second_, 0.0),
            mean,
            static_cast<std::uint32_t>(slots_),
            static_cast<std::uint32_t>(open_.members().size()),
            static_cast<std::uint32_t>(urgent_open_.members().size()),
            blocked_.empty() ? core::instant::max() : blocked_.front().first};
}

void pool::replace(std::uint32_t index, endpoint_view next)
{
    count(views_[index], -1);
    views_[index] = std::move(next);
    count(views_[index], 1);
    update_open(index);
}

void pool::count(const endpoint_view& view, double sign)
{
    const double slots = view.blocked_until ? 0 : view.limit;
    slots_ += static_cast<std::int64_t>(sign * slots);
    work_per_second_ += sign * slots * view.work_rate;
    squared_rates_ += sign * slots * view.work_rate * view.work_rate;
}

void pool::close(std::uint32_t index)
{
    open_.update(index, false);
    urgent_open_.update(index, false);
}

void pool::update_open(std::uint32_t index)
{
    open_.update(index, has_room(views_[index], false));
    urgent_open_.update(index, has_room(views_[index], true));
}

// All ejections last equally long, so the queue is sorted by time.
void pool::unblock_due(core::instant now)
{
    while (!blocked_.empty() && blocked_.front().first <= now) {
        const auto [due, name] = blocked_.front();
        blocked_.pop_front();
        const auto found = index_.find(name);
        if (found != index_.end() && views_[found->second].blocked_until == due) {
            replace(found->second, unblocked(views_[found->second]));
        }
    }
}

} // namespace ej::routing
