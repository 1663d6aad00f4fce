#include <admission/drain_meter.h>

#include <algorithm>
#include <chrono>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds window{1.0};
constexpr seconds forget_after{10.0};
constexpr double least_weight = 0.15;
constexpr int windows_to_trust = 3;

// Without a known speed the endpoints count as one unit of work per second.
double known(double capacity)
{
    return capacity > 0 ? capacity : 1.0;
}

} // namespace

void drain_meter::advance(bool waiting, double capacity, core::instant now)
{
    // A window in which the queue stood empty shows the demand and not the drain.
    if (!waiting || !waited_) {
        waited_ = waiting;
        restart(now);
        windows_ = now - last_waiting_ > forget_after ? 0 : windows_;
        return;
    }
    last_waiting_ = now;
    const seconds length = now - window_start_;
    if (length < window) {
        return;
    }
    // The first windows are averaged evenly: a window holds few requests when these are long.
    const double sample = work_ / (length.count() * known(capacity));
    const double weight = std::max(1.0 / ++windows_, least_weight);
    part_ += weight * (sample - part_);
    restart(now);
}

double drain_meter::per_second(double capacity) const
{
    return windows_ < windows_to_trust ? 0 : part_ * known(capacity);
}

void drain_meter::restart(core::instant now)
{
    work_ = 0;
    window_start_ = now;
}

} // namespace ej::admission
