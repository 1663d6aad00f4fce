#pragma once

#include <forwarding/budget_total.h>
#include <forwarding/last_peer_message.h>
#include <forwarding/load_message.h>
#include <forwarding/service_share.h>

#include <core/instant.h>
#include <core/service_id.h>
#include <core/vm_id.h>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// Number of sends reported by other daemons. Thread-safe: one lock, since each sum reads all
/// peers.
class peer_budgets {
public:
    /// Applies a message; ignores one that is not newer than the last of the same run.
    void apply(const load_message& message, core::instant now);

    /// Sum of the sends to `service` over all daemons whose last message has not expired.
    [[nodiscard]] budget_total sum(const core::service_id& service, core::instant now) const;

private:
    struct peer {
        last_peer_message last;
        std::vector<service_share> shares;
    };

    mutable std::mutex mutex_;
    std::unordered_map<core::vm_id, peer> peers_;
};

} // namespace ej::forwarding
