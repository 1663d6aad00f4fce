#pragma once

#include "proxy_mode.h"

#include <core/address.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace ej::soak {

/// Forwards connections to one address and injects faults into them. Runs on a loop of one thread;
/// all functions but the construction are thread-safe.
class loopback_proxy {
public:
    /// Listens on a free port. Throws boost::system::system_error.
    explicit loopback_proxy(boost::asio::io_context& loop);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    /// Where clients connect.
    [[nodiscard]] core::address address() const;

    /// Where new connections lead; until the first call they are refused.
    void forward_to(const core::address& target);

    /// Changes what happens to connections.
    void set(proxy_mode mode);

    /// Resets all connections that are open.
    void reset_all();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace ej::soak
