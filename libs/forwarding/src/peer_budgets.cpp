#include <forwarding/peer_budgets.h>

#include <algorithm>

namespace ej::forwarding {

void peer_budgets::apply(const load_message& message, core::instant now)
{
    const std::scoped_lock lock(mutex_);
    peer& from = peers_[message.from];
    if (from.last.is_duplicate_or_late(message)) {
        return;
    }
    from = peer{last_peer_message::after(message, now), message.services};
    std::erase_if(peers_, [&](const auto& one) { return one.second.last.expired(now); });
}

budget_total peer_budgets::sum(const core::service_id& service, core::instant now) const
{
    const std::scoped_lock lock(mutex_);
    budget_total total;
    for (const auto& [vm, from] : peers_) {
        if (from.last.expired(now)) {
            continue;
        }
        ++total.daemons;
        const auto found = std::ranges::find(from.shares, service, &service_share::service);
        if (found != from.shares.end()) {
            total.first_sends += found->first_sends;
            total.further_sends += found->further_sends;
            total.waiting += found->waiting;
        }
    }
    return total;
}

} // namespace ej::forwarding
