#pragma once

#include "front_context.h"
#include "net.h"

#include <caller_front/store_layout.h>

#include <platform/store.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ej::front {

/// Registers this daemon in the store under a lease, so that the other daemons discover it.
/// Used on the control loop.
class daemon_registration {
public:
    /// All arguments outlive the object.
    daemon_registration(front_context& context, platform::store& store, const store_layout& layout,
                        asio::io_context& loop);

    /// Maintains the registration for as long as the loop runs.
    boost::asio::awaitable<void> run();

    /// Renews the registration at once: the store is back, and may have dropped it meanwhile.
    void renew_now();

private:
    boost::asio::awaitable<absl::Status> register_daemon();
    boost::asio::awaitable<absl::Status> renew();

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    asio::steady_timer timer_;
    bool renewal_due_ = false; // Since the last call to the store began.
    platform::lease_id lease_;
};

} // namespace ej::front
