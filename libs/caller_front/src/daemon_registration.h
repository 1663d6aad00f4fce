#pragma once

#include "front_context.h"
#include "net.h"

#include <caller_front/store_layout.h>

#include <platform/store.h>

#include <boost/asio/awaitable.hpp>

namespace ej::front {

/// Registers this daemon in the store under a lease, so that the other daemons discover it.
class daemon_registration {
public:
    /// All arguments outlive the object.
    daemon_registration(front_context& context, platform::store& store, const store_layout& layout);

    /// Maintains the registration for as long as the loop runs.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<absl::Status> register_daemon();
    boost::asio::awaitable<absl::Status> renew();

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    platform::lease_id lease_;
};

} // namespace ej::front
