#pragma once

#include <core/instant.h>

#include <boost/asio/awaitable.hpp>

namespace ej::http {

/// Waits on a timer; the thread is free meanwhile.
boost::asio::awaitable<void> pause_for(core::duration time);

} // namespace ej::http
