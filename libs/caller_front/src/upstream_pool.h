#pragma once

#include "net.h"
#include "upstream_connection.h"

#include <core/address.h>
#include <core/endpoint.h>
#include <core/instant.h>

#include <map>
#include <string>
#include <vector>

namespace ej::front {

/// Idle connections to endpoints, by address. A connection that receives data while idle is closed,
/// so that a stray answer never reaches a later request. Used on one lane.
class upstream_pool {
public:
    explicit upstream_pool(asio::io_context& lane) : lane_(lane) {}

    /// An idle connection to `where` that has carried no request with the identifier
    /// `request_id`, or null.
    [[nodiscard]] upstream_connection_ptr take(const core::address& where,
                                               const std::string& request_id, core::instant now);

    /// Keeps `connection` for the next request.
    void keep(const core::address& where, const upstream_connection_ptr& connection);

    /// Closes the idle connections to `where`.
    void drop(const core::address& where);

    [[nodiscard]] asio::io_context& lane() { return lane_; }

private:
    void watch(const core::address& where, const upstream_connection_ptr& connection);

    asio::io_context& lane_;
    std::map<core::address, std::vector<upstream_connection_ptr>> idle_;
};

} // namespace ej::front
