#pragma once

#include <utility>

#include "change_signal.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <mutex>
#include <set>

namespace ej::stand_ins {

/// Limits concurrency. Waiters get slots by priority (higher first), then in order of arrival.
/// Thread-safe.
class slot_pool {
public:
    explicit slot_pool(std::uint32_t slots) : slots_(slots) {}

    /// Waits for a slot and takes it.
    boost::asio::awaitable<void> acquire(std::int64_t priority);

    /// Returns a slot to the pool.
    void release();

    [[nodiscard]] std::uint32_t slots() const { return slots_; }
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    using queue_position = std::pair<std::int64_t, std::uint64_t>;

    queue_position enqueue(std::int64_t priority);
    bool try_acquire(const queue_position& position);

    const std::uint32_t slots_;
    mutable std::mutex mutex_;
    std::uint32_t running_ = 0;
    std::uint64_t next_arrival_ = 0;
    std::set<queue_position> waiting_;
    change_signal changed_;
};

} // namespace ej::stand_ins
