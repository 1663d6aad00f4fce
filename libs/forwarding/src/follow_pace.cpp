#include <forwarding/follow_pace.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

// As shares of the time within which changes are to be in force. The first daemon's questions are
// cheap, as one serves a whole failure domain; a daemon on its own leaves time for a call that
// finds its connection dead (up to a second) and another one.
constexpr double shortest_share = 0.1;
constexpr double longest_share = 0.4;

core::duration share_of(core::duration whole, double share)
{
    return std::chrono::duration_cast<core::duration>(whole * share);
}

} // namespace

follow_pace::follow_pace(core::duration apply_within)
    : interval_(share_of(apply_within, shortest_share)),
      longest_(share_of(apply_within, longest_share))
{
}

void follow_pace::asked(core::instant now)
{
    asked_ = now;
    hastened_ = false;
}

void follow_pace::fresh(core::instant now)
{
    fresh_ = std::max(fresh_, now);
}

core::instant follow_pace::due() const
{
    if (hastened_) {
        return asked_ + interval_;
    }
    const auto steps = static_cast<core::duration::rep>(
        std::min<std::size_t>(rank_ + 1, static_cast<std::size_t>(longest_ / interval_)));
    return fresh_ + std::min(interval_ * steps, longest_);
}

} // namespace ej::forwarding
