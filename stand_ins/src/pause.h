#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace ej::stand_ins {

/// Waits on a timer for `time`.
boost::asio::awaitable<void> pause(std::chrono::duration<double> time);

} // namespace ej::stand_ins
