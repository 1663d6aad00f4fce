#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>

namespace ej::stand_ins {

/// A version counter whose changes coroutines can wait for. Thread-safe.
class change_signal {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Number of `notify` calls so far.
    [[nodiscard]] std::uint64_t version() const;

    /// Returns once the version differs from `seen`, or at `until`.
    boost::asio::awaitable<void> wait(std::uint64_t seen, time_point until = time_point::max());

    /// Increments the version and wakes all waiters.
    void notify();

private:
    using timer = std::shared_ptr<boost::asio::steady_timer>;

    template <class Handler>
    void start_wait(std::uint64_t seen, time_point until, Handler handler);
    void remove(const timer& ended);

    mutable std::mutex mutex_;
    std::uint64_t version_ = 0;
    std::set<timer> waiting_;
};

} // namespace ej::stand_ins
