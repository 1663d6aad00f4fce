#include <admission/drain_meter.h>

#include <chrono>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds window{1.0};
constexpr seconds forget_after{5.0};
constexpr double new_weight = 0.5;

} // namespace

void drain_meter::advance(bool waiting, core::instant now)
{
    // A window in which the queue stood empty shows the demand and not the drain.
    if (!waiting || !waited_) {
        waited_ = waiting;
        restart(now);
        rate_ = now - last_waiting_ > forget_after ? 0 : rate_;
        return;
    }
    last_waiting_ = now;
    const seconds length = now - window_start_;
    if (length < window) {
        return;
    }
    const double sample = work_ / length.count();
    rate_ = rate_ > 0 ? rate_ + new_weight * (sample - rate_) : sample;
    restart(now);
}

void drain_meter::restart(core::instant now)
{
    work_ = 0;
    window_start_ = now;
}

} // namespace ej::admission
