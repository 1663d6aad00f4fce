#include <admission/throughput_meter.h>

#include <algorithm>
#include <chrono>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds window{1.0};
constexpr seconds forget_after{10.0};
constexpr double min_weight = 0.15;
constexpr int min_windows = 3;

// If the capacity is not known, it counts as one unit of work per second.
double capacity_or_unit(double capacity)
{
    return capacity > 0 ? capacity : 1.0;
}

} // namespace

void throughput_meter::advance(bool waiting, double capacity, core::instant now)
{
    // In a window in which the queue was empty, the work that left it is limited by demand and says
    // nothing about throughput.
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
    // The first windows are averaged with equal weights, since a window covers few requests if they
    // are long.
    const double sample = work_ / (length.count() * capacity_or_unit(capacity));
    const double weight = std::max(1.0 / ++windows_, min_weight);
    capacity_fraction_ += weight * (sample - capacity_fraction_);
    restart(now);
}

double throughput_meter::per_second(double capacity) const
{
    return windows_ < min_windows ? 0 : capacity_fraction_ * capacity_or_unit(capacity);
}

void throughput_meter::restart(core::instant now)
{
    work_ = 0;
    window_start_ = now;
}

} // namespace ej::admission
