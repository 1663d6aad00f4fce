#pragma once

#include <peer/peer_address.h>

#include <string>
#include <tuple>

namespace ej::peer {

/// Identity of the daemon at the other end, authenticated by the fleet's secret.
struct peer_identity {
    std::string name;
    std::string domain;   ///< Its failure domain.
    peer_address address; ///< Where it listens.

    friend bool operator==(const peer_identity& left, const peer_identity& right)
    {
        return std::tie(left.name, left.domain, left.address) ==
               std::tie(right.name, right.domain, right.address);
    }
};

} // namespace ej::peer
