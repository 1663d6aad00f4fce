#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace ej::stand_ins {

/// Lets coroutines wait until a version moves on. Thread-safe; each waiter runs on a strand.
class change_signal {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Number of `notify` calls so far.
    [[nodiscard]] std::uint64_t version() const;

    /// Returns once the version differs from `seen`, or at `until`.
    boost::asio::awaitable<void> wait(std::uint64_t seen, time_point until = time_point::max());

    /// Moves the version on and wakes all waiters.
    void notify();

private:
    bool add(std::uint64_t seen, std::uint64_t& ticket, std::function<void()> wake);
    void remove(std::uint64_t ticket);

    mutable std::mutex mutex_;
    std::uint64_t version_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::map<std::uint64_t, std::function<void()>> waiters_;
};

} // namespace ej::stand_ins
