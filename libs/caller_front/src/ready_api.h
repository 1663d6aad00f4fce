#pragma once

#include "front_context.h"
#include "net.h"

#include <http/server.h>
#include <platform/call_counts.h>

#include <core/address.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ej::front {

/// Serves the readiness check of the load balancer and the metrics. Thread-safe.
class ready_api {
public:
    /// Both outlive the object.
    ready_api(front_context& context, const platform::call_counts& store_calls);

    /// Listens on `where`. Error: Unavailable.
    absl::Status start(const asio::any_io_executor& executor, const core::address& where);

    /// The bound address.
    [[nodiscard]] core::address local() const { return server_->local(); }

private:
    boost::asio::awaitable<void> answer(std::shared_ptr<http::exchange> incoming);
    [[nodiscard]] http::response ready() const;
    [[nodiscard]] http::response metrics();

    front_context& context_;
    const platform::call_counts& store_calls_;
    std::unique_ptr<http::server> server_;
};

} // namespace ej::front
