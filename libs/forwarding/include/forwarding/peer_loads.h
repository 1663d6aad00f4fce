#pragma once

#include <forwarding/last_peer_message.h>
#include <forwarding/load_message.h>
#include <forwarding/load_share.h>

#include <core/endpoint_id.h>
#include <core/instant.h>
#include <core/vm_id.h>

#include <mutex>
#include <unordered_map>

namespace ej::forwarding {

/// Loads reported by other daemons, summed by endpoint. Thread-safe: one lock, since every message
/// and every choice touches most endpoints.
class peer_loads {
public:
    /// Applies a message; ignores one that is not newer than the last of the same run.
    void apply(const load_message& message, core::instant now);

    /// Drops the loads of daemons whose last message has expired.
    void expire(core::instant now);

    /// Total load of all other daemons at `endpoint`.
    [[nodiscard]] load_share at(const core::endpoint_id& endpoint) const;

private:
    struct peer {
        last_peer_message last;
        std::unordered_map<core::endpoint_id, load_share> shares;
    };

    void set(peer& from, const load_share& share);
    void clear(peer& from);

    mutable std::mutex mutex_;
    std::unordered_map<core::vm_id, peer> peers_;
    std::unordered_map<core::endpoint_id, load_share> sums_;
};

} // namespace ej::forwarding
