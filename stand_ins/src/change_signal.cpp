#include "change_signal.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ej::stand_ins {

namespace {

using boost::asio::use_awaitable;
using boost::asio::use_awaitable_t;

} // namespace

std::uint64_t change_signal::version() const
{
    const std::scoped_lock lock(mutex_);
    return version_;
}

boost::asio::awaitable<void> change_signal::wait(std::uint64_t seen, time_point until)
{
    auto start = [this, seen, until](auto handler) { start_wait(seen, until, std::move(handler)); };
    co_await boost::asio::async_initiate<const use_awaitable_t<>, void()>(start, use_awaitable);
}

// Timers are not thread-safe, so they are used only under the lock. `async_wait` and `cancel` never
// run the handler under the lock: they only schedule it on the waiter's executor.
template <class Handler>
void change_signal::start_wait(std::uint64_t seen, time_point until, Handler handler)
{
    const auto executor = boost::asio::get_associated_executor(handler);
    const std::scoped_lock lock(mutex_);
    const auto expiry = version_ == seen ? until : time_point::min();
    const auto waiter = std::make_shared<boost::asio::steady_timer>(executor, expiry);
    waiting_.insert(waiter);
    auto finish = [this, waiter, resume = std::move(handler)](boost::system::error_code) mutable {
        remove(waiter);
        resume();
    };
    waiter->async_wait(boost::asio::bind_executor(executor, std::move(finish)));
}

void change_signal::notify()
{
    const std::scoped_lock lock(mutex_);
    ++version_;
    for (const timer& waiter : waiting_) {
        waiter->cancel();
    }
}

void change_signal::remove(const timer& ended)
{
    const std::scoped_lock lock(mutex_);
    waiting_.erase(ended);
}

} // namespace ej::stand_ins
