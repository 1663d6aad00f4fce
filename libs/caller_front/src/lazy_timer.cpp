#include "lazy_timer.h"

#include "clock.h"

#include <utility>

namespace ej::front {

lazy_timer::lazy_timer(asio::io_context& lane, std::function<void()> action)
    : timer_(lane), action_(std::move(action))
{
}

void lazy_timer::set(core::instant deadline)
{
    deadline_ = deadline;
    input_polled_ = false;
    if (!armed_ || deadline < *armed_) {
        arm(deadline);
    }
}

void lazy_timer::stop()
{
    deadline_.reset();
    action_ = nullptr;
    timer_.cancel();
}

void lazy_timer::arm(core::instant expiry)
{
    armed_ = expiry;
    timer_.expires_at(expiry);
    timer_.async_wait([self = shared_from_this(), expiry](const error_code& error) {
        // Ignores a wait that was replaced by an earlier one.
        if (!error && self->armed_ == expiry) {
            self->fired();
        }
    });
}

void lazy_timer::fired()
{
    armed_.reset();
    if (!deadline_) {
        return;
    }
    if (now() < *deadline_) {
        arm(*deadline_);
        return;
    }
    if (!std::exchange(input_polled_, true)) {
        // A lane that was late may not have seen input that arrived in time. It polls for input
        // before it looks at expired timers.
        arm(*deadline_);
        return;
    }
    deadline_.reset();
    if (action_) {
        // Copied, since the action may stop the timer, which resets `action_`.
        const auto action = action_;
        action();
    }
}

} // namespace ej::front
