#include "clock.h"
#include "peer_link.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ej::front {

namespace {

using std::chrono::milliseconds;

// Changes within this window are sent in one message; short compared with the time to read a prompt
// (about 1 s).
constexpr milliseconds batch_window{4};
// Interval between two messages with the full load.
constexpr milliseconds full_load_interval{1'000};
// One of so many goes to the other failure domains as well, to which traffic is charged for.
constexpr std::uint64_t full_loads_to_others = 2;
// Load shares per datagram: about 40 bytes each.
constexpr std::size_t shares_per_datagram = 28;

} // namespace

void peer_link::apply(const forwarding::load_message& message)
{
    context_.stats.apply_peer_message(message, now());
    context_.budget.apply_peer_message(message, now());
}

void peer_link::queue_load_change(const core::endpoint& endpoint)
{
    const std::scoped_lock lock(mutex_);
    const bool first = changes_.empty();
    changes_[endpoint.domain].insert(endpoint.name);
    if (first) {
        asio::post(loop_, [this] {
            batch_timer_.expires_after(batch_window);
            batch_timer_.async_wait([this](const error_code& error) {
                if (!error) {
                    send_changes();
                }
            });
        });
    }
}

void peer_link::send_changes()
{
    std::map<core::failure_domain_id, std::set<core::endpoint_id>> changes;
    {
        const std::scoped_lock lock(mutex_);
        changes.swap(changes_);
    }
    const auto peers = context_.peers_by_domain.load();
    // The budget is shared by all daemons, so that each must know of further sends at once.
    const auto further_sends = context_.budget.takes();
    const bool further_sent =
        std::exchange(further_sends_reported_, further_sends) != further_sends;
    const bool to_all = further_sent || context_.copies.places_are_scarce();
    std::vector<forwarding::load_share> all;
    for (const auto& [domain, engines] : changes) {
        std::vector<forwarding::load_share> shares;
        std::ranges::transform(
            engines, std::back_inserter(shares),
            [this](const core::endpoint_id& one) { return context_.stats.own_share(one); });
        all.insert(all.end(), shares.begin(), shares.end());
        const auto found = peers->find(domain);
        if (!to_all && domain != context_.settings.domain && found != peers->end()) {
            send_shares(shares, false, found->second);
        }
    }
    send_shares(all, false, to_all ? *context_.peers.load() : *context_.domain_peers.load());
}

void peer_link::send_full_load()
{
    context_.stats.expire(now());
    context_.suspects.expire(now());
    context_.parts.expire(now());
    send_held_parts();
    evidence_.repeat();
    send_leaving();
    const bool to_all =
        full_loads_++ % full_loads_to_others == 0 || context_.copies.places_are_scarce();
    send_shares(context_.stats.own_shares(), true,
                to_all ? *context_.peers.load() : *context_.domain_peers.load());
    full_load_timer_.expires_after(full_load_interval);
    full_load_timer_.async_wait([this](const error_code& error) {
        if (!error) {
            send_full_load();
        }
    });
}

void peer_link::send_shares(const std::vector<forwarding::load_share>& shares, bool whole,
                            const std::vector<core::address>& to)
{
    if (to.empty()) {
        return;
    }
    auto services = context_.budget.own_shares(now());
    std::ranges::for_each(services, [this](forwarding::service_share& one) {
        one.waiting = static_cast<std::uint32_t>(context_.waiting.of(one.service));
    });
    std::size_t begin = 0;
    do {
        const auto count = std::min(shares.size() - begin, shares_per_datagram);
        const auto first = shares.begin() + static_cast<std::ptrdiff_t>(begin);
        send(forwarding::load_message{context_.settings.vm,
                                      start_,
                                      ++number_,
                                      whole && begin == 0,
                                      {first, first + static_cast<std::ptrdiff_t>(count)},
                                      services},
             to);
        begin += count;
    } while (begin < shares.size());
}

} // namespace ej::front
