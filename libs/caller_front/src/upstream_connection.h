#pragma once

#include "net.h"

#include <core/endpoint.h>
#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ej::front {

/// A connection to an endpoint, used for one request at a time on one lane.
struct upstream_connection {
    explicit upstream_connection(asio::io_context& lane) : socket(lane) {}

    /// Sets the options of the connected socket.
    void set_up();

    /// True if a request with this identifier was sent on it: a late copy of its answer may still
    /// come, which could not be told from the answer to another send.
    [[nodiscard]] bool has_carried(const std::string& request_id) const;

    /// Notes that a request with this identifier is sent on it.
    void note_sent(const std::string& request_id);

    /// True if it may carry another request.
    [[nodiscard]] bool accepts_more() const;

    /// Whether the kernel probes the endpoint's machine while nothing arrives from it. Without an
    /// answer to the probes the connection fails within 4.5 s after the last byte.
    void probe(bool enabled);

    tcp::socket socket;
    beast::flat_buffer buffer;
    core::instant usable_until{};  ///< The endpoint may close it if idle longer.
    bool probed = false;           ///< See `probe`.
    std::uint64_t idle_period = 0; ///< Incremented whenever the connection leaves the pool.
    std::vector<std::size_t> sent; ///< Hashes of the identifiers of its requests.
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

} // namespace ej::front
