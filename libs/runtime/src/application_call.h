#pragma once

#include "short_call.h"

#include <core/address.h>
#include <http/client.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ej::runtime {

/// Sends `call` to the application at `where` once. Errors: as http::client::fetch.
boost::asio::awaitable<absl::StatusOr<http::response>>
call_application(std::shared_ptr<http::client> calls, core::address where, short_call call,
                 bool reuse_connection);

} // namespace ej::runtime
