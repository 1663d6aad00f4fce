#include "silence_monitor.h"

#include "clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::front {

namespace {

// Several round trips between failure domains; if the first packet is lost, a second check is
// needed.
constexpr std::chrono::milliseconds check_timeout{150};

} // namespace

silence_monitor::silence_monitor(upstream_pool& pool, lost_callback on_lost,
                                 check_condition may_check)
    : pool_(pool), on_lost_(std::move(on_lost)), may_check_(std::move(may_check))
{
}

void silence_monitor::begin(core::address where, const forwarding::silence_timeouts& bounds)
{
    stop();
    where_ = std::move(where);
    timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check_silence();
        }
    });
    note_output(bounds);
}

void silence_monitor::note_output(const forwarding::silence_timeouts& bounds)
{
    bounds_ = bounds;
    last_output_ = now();
    reachable_ = true;
    if (check_ != nullptr) {
        std::exchange(check_, nullptr)->cancel();
    }
    if (timer_ != nullptr) {
        set_timer(last_output_ + bounds_.probe_after);
    }
}

void silence_monitor::stop()
{
    if (check_ != nullptr) {
        std::exchange(check_, nullptr)->cancel();
    }
    if (timer_ != nullptr) {
        std::exchange(timer_, nullptr)->stop();
    }
}

void silence_monitor::check_silence()
{
    const auto timer_late = now() - due_;
    if (now() - last_output_ >= bounds_.give_up_after) {
        const auto timer = timer_;
        set_timer(now() + bounds_.probe_after);
        report_lost("no output within the limit", timer_late);
        // The limit may be shorter than the time until the first check.
        if (timer_ == timer && check_ == nullptr) {
            begin_check(timer_late);
        }
        return;
    }
    if (check_ != nullptr) {
        std::exchange(check_, nullptr)->cancel();
    }
    // Before the check starts, since its result may stop the monitor.
    set_timer(std::min(now() + bounds_.probe_after, last_output_ + bounds_.give_up_after));
    begin_check(timer_late);
}

void silence_monitor::begin_check(core::duration timer_late)
{
    if (!may_check_()) {
        return;
    }
    check_ = std::make_shared<liveness_check>(
        pool_, where_, [weak = weak_from_this(), timer_late](bool alive) {
            const auto self = weak.lock();
            if (self != nullptr && !alive) {
                self->reachable_ = false;
                self->report_lost("endpoint unreachable", timer_late);
            }
        });
    check_->start(check_timeout);
}

void silence_monitor::set_timer(core::instant due)
{
    due_ = due;
    timer_->set(due);
}

void silence_monitor::report_lost(const char* detail, core::duration timer_late)
{
    on_lost_({detail, now() - last_output_, reachable_, timer_late});
}

} // namespace ej::front
