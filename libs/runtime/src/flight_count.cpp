#include "flight_count.h"

#include <cassert>

namespace ej::runtime {

bool flight_count::enter()
{
    const std::scoped_lock lock(mutex_);
    if (draining_) {
        return false;
    }
    ++count_;
    return true;
}

void flight_count::leave()
{
    const std::scoped_lock lock(mutex_);
    assert(count_ > 0);
    --count_;
    empty_.notify_all();
}

void flight_count::drain()
{
    const std::scoped_lock lock(mutex_);
    draining_ = true;
    empty_.notify_all();
}

bool flight_count::draining() const
{
    const std::scoped_lock lock(mutex_);
    return draining_;
}

std::size_t flight_count::size() const
{
    const std::scoped_lock lock(mutex_);
    return count_;
}

void flight_count::wait_until_empty()
{
    std::unique_lock lock(mutex_);
    empty_.wait(lock, [this] { return draining_ && count_ == 0; });
}

} // namespace ej::runtime
