#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ej::runtime {

namespace asio = boost::asio;

/// Completion token that hands an operation's error to `error` instead of throwing it.
inline auto no_throw(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace ej::runtime
