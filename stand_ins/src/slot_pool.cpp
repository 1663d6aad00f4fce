#include "slot_pool.h"

namespace ej::stand_ins {

boost::asio::awaitable<void> slot_pool::acquire(std::int64_t priority)
{
    const place mine = enqueue(priority);
    for (;;) {
        const std::uint64_t seen = changed_.version();
        if (take(mine)) {
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

slot_pool::place slot_pool::enqueue(std::int64_t priority)
{
    const std::scoped_lock lock(mutex_);
    const place mine{-priority, arrivals_++};
    waiting_.insert(mine);
    return mine;
}

bool slot_pool::take(const place& mine)
{
    const std::scoped_lock lock(mutex_);
    if (running_ == slots_ || *waiting_.begin() != mine) {
        return false;
    }
    waiting_.erase(mine);
    ++running_;
    return true;
}

} // namespace ej::stand_ins
