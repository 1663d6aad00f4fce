#pragma once

#include <utility>

#include "fault_control.h"
#include "service.h"

#include <core/address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace ej::stand_ins {

/// Accepts connections and serves each one on its own strand.
class server {
public:
    /// Binds `listen`; port 0 lets the system choose. Throws `boost::system::system_error`.
    server(boost::asio::io_context& context, const core::address& listen);

    /// The bound address.
    [[nodiscard]] core::address local() const;

    /// Starts accepting connections.
    void start(std::shared_ptr<service> role, std::shared_ptr<fault_control> control);

private:
    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace ej::stand_ins
