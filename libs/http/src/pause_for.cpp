#include "beast.h"

#include <http/pause_for.h>

namespace ej::http {

asio::awaitable<void> pause_for(core::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code error;
    co_await timer.async_wait(no_throw(error));
}

} // namespace ej::http
