#pragma once

#include <core/instant.h>

#include <boost/asio/awaitable.hpp>

namespace ej::http {

/// Suspends the coroutine for `time` without blocking the thread.
boost::asio::awaitable<void> pause_for(core::duration time);

} // namespace ej::http
