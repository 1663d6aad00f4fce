#include "pause.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ej::stand_ins {

boost::asio::awaitable<void> pause(std::chrono::duration<double> time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(time));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace ej::stand_ins
