#include <forwarding/store_poll_schedule.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

// Polling intervals as fractions of the time within which changes must take effect. The
// first-ranked daemon may poll often, since each of its polls serves a whole failure domain. The
// longest interval leaves time for a call that finds its connection dead (up to a second) and for a
// second call.
constexpr double shortest_share = 0.1;
constexpr double longest_share = 0.4;

core::duration share_of(core::duration whole, double share)
{
    return std::chrono::duration_cast<core::duration>(whole * share);
}

} // namespace

store_poll_schedule::store_poll_schedule(core::duration apply_within)
    : interval_(share_of(apply_within, shortest_share)),
      max_interval_(share_of(apply_within, longest_share))
{
}

void store_poll_schedule::record_poll(core::instant now)
{
    last_poll_ = now;
    poll_soon_ = false;
}

void store_poll_schedule::record_up_to_date(core::instant now)
{
    up_to_date_at_ = std::max(up_to_date_at_, now);
}

core::instant store_poll_schedule::next_poll() const
{
    if (poll_soon_) {
        return last_poll_ + interval_;
    }
    const auto steps = static_cast<core::duration::rep>(
        std::min<std::size_t>(rank_ + 1, static_cast<std::size_t>(max_interval_ / interval_)));
    return up_to_date_at_ + std::min(interval_ * steps, max_interval_);
}

} // namespace ej::forwarding
