#include "in_flight_counter.h"

#include <cassert>

namespace ej::runtime {

bool in_flight_counter::enter()
{
    const std::scoped_lock lock(mutex_);
    if (draining_) {
        return false;
    }
    ++count_;
    return true;
}

void in_flight_counter::leave()
{
    const std::scoped_lock lock(mutex_);
    assert(count_ > 0);
    --count_;
    empty_.notify_all();
}

void in_flight_counter::drain()
{
    const std::scoped_lock lock(mutex_);
    draining_ = true;
    empty_.notify_all();
}

bool in_flight_counter::draining() const
{
    const std::scoped_lock lock(mutex_);
    return draining_;
}

std::size_t in_flight_counter::size() const
{
    const std::scoped_lock lock(mutex_);
    return count_;
}

void in_flight_counter::wait_until_empty()
{
    std::unique_lock lock(mutex_);
    empty_.wait(lock, [this] { return draining_ && count_ == 0; });
}

} // namespace ej::runtime
