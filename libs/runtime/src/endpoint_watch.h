#pragma once

#include "services.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ej::runtime {

/// Keeps the directory and the pools in step with the platform's list, until the executor stops.
boost::asio::awaitable<void> watch_endpoints(std::shared_ptr<services> shared);

} // namespace ej::runtime
