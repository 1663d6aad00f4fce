#pragma once

#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace ej::peer {

/// A queue that passes values from the transport's thread to the test's thread.
template <class T>
class mailbox {
public:
    void put(T value)
    {
        const std::scoped_lock lock(mutex_);
        values_.push_back(std::move(value));
        arrived_.notify_all();
    }

    /// Removes and returns the oldest value; fails the test when none arrives within 30 s.
    T take()
    {
        std::unique_lock lock(mutex_);
        const bool came =
            arrived_.wait_for(lock, std::chrono::seconds(30), [&] { return !values_.empty(); });
        REQUIRE(came);
        T value = std::move(values_.front());
        values_.pop_front();
        return value;
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<T> values_;
};

} // namespace ej::peer
