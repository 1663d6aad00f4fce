#pragma once

#include <forwarding/budget_share.h>
#include <forwarding/budget_total.h>
#include <forwarding/load_message.h>

#include <core/instant.h>
#include <core/service_id.h>
#include <core/vm_id.h>

#include <chrono>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace ej::forwarding {

/// The sends that other daemons have told. Thread-safe: one lock, since each sum touches all.
class peer_budgets {
public:
    /// A daemon that was not heard for so long is not counted: three of its regular messages.
    static constexpr core::duration validity = std::chrono::milliseconds(3'000);

    /// Applies a message; older ones than the last of the same run are skipped.
    void apply(const load_message& message, core::instant now);

    /// The sum of the other daemons' sends to `service`.
    [[nodiscard]] budget_total sum(const core::service_id& service, core::instant now) const;

private:
    struct peer {
        std::uint64_t start = 0;
        std::uint64_t number = 0;
        core::instant heard{};
        std::vector<budget_share> shares;
    };

    mutable std::mutex mutex_;
    std::unordered_map<core::vm_id, peer> peers_;
};

} // namespace ej::forwarding
