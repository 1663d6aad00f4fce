#include "change_signal.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace ej::stand_ins {

std::uint64_t change_signal::version() const
{
    const std::scoped_lock lock(mutex_);
    return version_;
}

// The timer is cancelled on the waiter's own strand, so after it has begun to wait.
boost::asio::awaitable<void> change_signal::wait(std::uint64_t seen, time_point until)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    auto timer = std::make_shared<boost::asio::steady_timer>(executor, until);
    std::function<void()> wake = [executor, timer] {
        boost::asio::post(executor, [timer] { timer->cancel(); });
    };
    std::uint64_t ticket = 0;
    if (!add(seen, ticket, std::move(wake))) {
        co_return;
    }
    boost::system::error_code ignored;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    remove(ticket);
}

void change_signal::notify()
{
    std::map<std::uint64_t, std::function<void()>> woken;
    {
        const std::scoped_lock lock(mutex_);
        ++version_;
        woken.swap(waiters_);
    }
    for (const auto& [ticket, wake] : woken) {
        wake();
    }
}

bool change_signal::add(std::uint64_t seen, std::uint64_t& ticket, std::function<void()> wake)
{
    const std::scoped_lock lock(mutex_);
    if (version_ != seen) {
        return false;
    }
    ticket = next_ticket_++;
    waiters_.emplace(ticket, std::move(wake));
    return true;
}

void change_signal::remove(std::uint64_t ticket)
{
    const std::scoped_lock lock(mutex_);
    waiters_.erase(ticket);
}

} // namespace ej::stand_ins
