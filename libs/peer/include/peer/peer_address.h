#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace ej::peer {

/// Where a daemon listens for its peers: an IP address and a TCP port.
struct peer_address {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const peer_address& left, const peer_address& right)
    {
        return std::tie(left.host, left.port) == std::tie(right.host, right.port);
    }
    friend bool operator!=(const peer_address& left, const peer_address& right)
    {
        return !(left == right);
    }
    friend bool operator<(const peer_address& left, const peer_address& right)
    {
        return std::tie(left.host, left.port) < std::tie(right.host, right.port);
    }
};

} // namespace ej::peer
