#pragma once

#include "net.h"

#include <core/endpoint.h>
#include <core/instant.h>

#include <memory>

namespace ej::front {

/// A connection to an endpoint, used for one request at a time on one lane.
struct upstream_connection {
    explicit upstream_connection(asio::io_context& lane) : socket(lane) {}

    /// Sets the options of the connected socket.
    void set_up();

    /// Whether the kernel probes the endpoint's machine while nothing arrives from it. Without an
    /// answer to the probes the connection fails within 4.5 s after the last byte.
    void probe(bool enabled);

    tcp::socket socket;
    beast::flat_buffer buffer;
    core::instant usable_until{};  ///< The endpoint may close it if idle longer.
    bool probed = false;           ///< See `probe`.
    bool used = false;             ///< A request has been sent on it.
    std::uint64_t idle_period = 0; ///< Incremented whenever the connection leaves the pool.
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

} // namespace ej::front
