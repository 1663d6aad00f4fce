#include <forwarding/retry_budget.h>

#include <algorithm>

namespace ej::forwarding {

namespace {

// Fraction of the total budget that may be in use when a daemon sends within its own share, and
// beyond it. The remainder covers sends that peers have not reported yet.
constexpr double own_part = 1;
constexpr double lent_part = 0.7;

void drop_before(std::deque<core::instant>& times, core::instant oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

} // namespace

retry_budget::retry_budget(retry_budget_settings settings) : settings_(settings) {}

void retry_budget::set(const retry_budget_settings& settings)
{
    settings_.store(settings);
}

void retry_budget::first(const core::service_id& service, core::instant now)
{
    const auto bound = settings_.load();
    windows_.with(service, [&](auto& windows) {
        send_window& window = windows[service];
        drop_before(window.first_sends, now - bound->window);
        window.first_sends.push_back(now);
    });
}

bool retry_budget::take(const core::service_id& service, std::size_t daemons, core::instant now)
{
    const auto bound = settings_.load();
    const budget_total peers = others_.sum(service, now);
    return windows_.with(service, [&](auto& windows) {
        send_window& window = windows[service];
        drop_before(window.first_sends, now - bound->window);
        drop_before(window.further_sends, now - bound->window);
        const auto first_sends = double(window.first_sends.size());
        const auto wanted = double(window.further_sends.size()) + 1;
        const auto daemon_count = std::max(daemons, peers.daemons + 1);
        const double own_most =
            bound->ratio * first_sends + bound->allowance / double(daemon_count);
        // Daemons without a recent message may use their shares of the allowance unnoticed.
        const double all_most = bound->ratio * (first_sends + double(peers.first_sends)) +
                                bound->allowance * double(peers.daemons + 1) / double(daemon_count);
        const double part = wanted <= own_most ? own_part : lent_part;
        if ((peers.daemons == 0 && wanted > own_most) ||
            wanted + double(peers.further_sends) > part * all_most) {
            return false;
        }
        window.further_sends.push_back(now);
        return true;
    });
}

std::vector<budget_share> retry_budget::own_shares(core::instant now)
{
    const auto bound = settings_.load();
    std::vector<budget_share> shares;
    windows_.for_each_shard([&](auto& windows) {
        for (auto& [service, window] : windows) {
            drop_before(window.first_sends, now - bound->window);
            drop_before(window.further_sends, now - bound->window);
            if (!window.first_sends.empty() || !window.further_sends.empty()) {
                shares.push_back({service, static_cast<std::uint32_t>(window.first_sends.size()),
                                  static_cast<std::uint32_t>(window.further_sends.size())});
            }
        }
    });
    return shares;
}

} // namespace ej::forwarding
