#pragma once

#include "proxy_mode.h"

#include <core/address.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace ej::soak {

/// Forwards connections to one address and injects faults into them. `loop` must run on one thread;
/// all functions except the constructor are thread-safe.
class loopback_proxy {
public:
    /// Listens on a free port. Throws boost::system::system_error.
    explicit loopback_proxy(boost::asio::io_context& loop);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    /// The address that clients connect to.
    [[nodiscard]] core::address address() const;

    /// Forwards new connections to `target`; before the first call they are refused.
    void forward_to(const core::address& target);

    /// Changes how connections are handled.
    void set_mode(proxy_mode mode);

    /// Resets all open connections.
    void reset_all();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace ej::soak
