#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace ej::runtime {

/// Counts requests in flight and lets a draining daemon wait for the last one. Thread-safe.
class in_flight_counter {
public:
    /// Counts a request in, unless the daemon drains.
    [[nodiscard]] bool enter();

    /// Counts a request out.
    void leave();

    /// From now on `enter` is refused.
    void drain();

    /// True after `drain`.
    [[nodiscard]] bool draining() const;

    /// Requests in flight.
    [[nodiscard]] std::size_t size() const;

    /// Waits until the daemon drains and nothing is in flight.
    void wait_until_empty();

private:
    mutable std::mutex mutex_;
    std::condition_variable empty_;
    std::size_t count_ = 0;
    bool draining_ = false;
};

} // namespace ej::runtime
