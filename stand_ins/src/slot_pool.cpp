#include "slot_pool.h"

namespace ej::stand_ins {

boost::asio::awaitable<void> slot_pool::acquire(std::int64_t priority)
{
    const queue_position position = enqueue(priority);
    for (;;) {
        const std::uint64_t seen = changed_.version();
        if (try_acquire(position)) {
            break;
        }
        co_await changed_.wait(seen);
    }
    changed_.notify();
}

void slot_pool::release()
{
    {
        const std::scoped_lock lock(mutex_);
        --running_;
    }
    changed_.notify();
}

std::uint32_t slot_pool::running() const
{
    const std::scoped_lock lock(mutex_);
    return running_;
}

std::size_t slot_pool::waiting() const
{
    const std::scoped_lock lock(mutex_);
    return waiting_.size();
}

slot_pool::queue_position slot_pool::enqueue(std::int64_t priority)
{
    const std::scoped_lock lock(mutex_);
    const queue_position position{-priority, next_arrival_++};
    waiting_.insert(position);
    return position;
}

bool slot_pool::try_acquire(const queue_position& position)
{
    const std::scoped_lock lock(mutex_);
    if (running_ == slots_ || *waiting_.begin() != position) {
        return false;
    }
    waiting_.erase(position);
    ++running_;
    return true;
}

} // namespace ej::stand_ins
