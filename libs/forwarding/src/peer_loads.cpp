#include <forwarding/peer_loads.h>

#include <algorithm>
#include <utility>

namespace ej::forwarding {

void peer_loads::set(peer& from, const load_share& share)
{
    load_share& known = from.shares[share.endpoint];
    load_share& sum = sums_[share.endpoint];
    sum.endpoint = share.endpoint;
    sum.in_flight += share.in_flight - known.in_flight;
    sum.tokens_unread += share.tokens_unread - known.tokens_unread;
    sum.tokens_held += share.tokens_held - known.tokens_held;
    known = share;
    if (share.in_flight == 0 && share.tokens_held == 0) {
        from.shares.erase(share.endpoint);
    }
    if (sum.in_flight == 0 && sum.tokens_unread == 0 && sum.tokens_held == 0) {
        sums_.erase(share.endpoint);
    }
}

void peer_loads::clear(peer& from)
{
    while (!from.shares.empty()) {
        const auto endpoint = from.shares.begin()->first;
        set(from, {endpoint});
    }
}

void peer_loads::apply(const load_message& message, core::instant now)
{
    const std::scoped_lock lock(mutex_);
    peer& from = peers_[message.from];
    if (from.last.is_duplicate_or_late(message)) {
        return;
    }
    if (from.last.is_from_other_run(message) || message.whole) {
        clear(from);
    }
    from.last = last_peer_message::after(message, now);
    std::ranges::for_each(message.shares, [&](const load_share& share) {
        set(from,
            share.in_flight == 0 ? load_share{share.endpoint, 0, 0, share.tokens_held} : share);
    });
}

void peer_loads::expire(core::instant now)
{
    const std::scoped_lock lock(mutex_);
    for (auto& [vm, from] : peers_) {
        if (from.last.expired(now)) {
            clear(from);
        }
    }
    std::erase_if(peers_, [&](const auto& one) { return one.second.last.expired(now); });
}

load_share peer_loads::at(const core::endpoint_id& endpoint) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = sums_.find(endpoint);
    return found == sums_.end() ? load_share{endpoint} : found->second;
}

} // namespace ej::forwarding
