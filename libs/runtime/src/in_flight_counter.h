#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace ej::runtime {

/// Counts the requests in flight, so that a draining daemon can wait for the last one. Thread-safe.
class in_flight_counter {
public:
    /// Adds a request and returns true; returns false while the daemon drains.
    [[nodiscard]] bool enter();

    /// Removes a request.
    void leave();

    /// Starts draining: from now on `enter` returns false.
    void drain();

    /// True once `drain` was called.
    [[nodiscard]] bool draining() const;

    /// The number of requests in flight.
    [[nodiscard]] std::size_t size() const;

    /// Blocks until `drain` was called and no request is in flight.
    void wait_until_empty();

private:
    mutable std::mutex mutex_;
    std::condition_variable empty_;
    std::size_t count_ = 0;
    bool draining_ = false;
};

} // namespace ej::runtime
