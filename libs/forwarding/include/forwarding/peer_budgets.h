#pragma once

#include <forwarding/budget_share.h>
#include <forwarding/budget_total.h>
#include <forwarding/last_peer_message.h>
#include <forwarding/load_message.h>

#include <core/instant.h>
#include <core/service_id.h>
#include <core/vm_id.h>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// The sends that other daemons have told. Thread-safe: one lock, since each sum touches all.
class peer_budgets {
public:
    /// Applies a message; older ones than the last of the same run are skipped.
    void apply(const load_message& message, core::instant now);

    /// The sum of the sends to `service` of the daemons that were heard lately.
    [[nodiscard]] budget_total sum(const core::service_id& service, core::instant now) const;

private:
    struct peer {
        last_peer_message last;
        std::vector<budget_share> shares;
    };

    mutable std::mutex mutex_;
    std::unordered_map<core::vm_id, peer> peers_;
};

} // namespace ej::forwarding
