#include <forwarding/send_budget.h>

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

send_budget::send_budget(send_budget_settings settings) : settings_(settings) {}

void send_budget::set(const send_budget_settings& settings)
{
    settings_.store(settings);
}

void send_budget::first(const core::service_id& service, core::instant now)
{
    const auto bound = settings_.load();
    windows_.with(service, [&](auto& windows) {
        send_window& window = windows[service];
        drop_before(window.firsts, now - bound->window);
        window.firsts.push_back(now);
    });
}

bool send_budget::take(const core::service_id& service, std::size_t daemons, core::instant now)
{
    const auto bound = settings_.load();
    const budget_total peers = others_.sum(service, now);
    return windows_.with(service, [&](auto& windows) {
        send_window& window = windows[service];
        drop_before(window.firsts, now - bound->window);
        drop_before(window.repeats, now - bound->window);
        const auto firsts = double(window.firsts.size());
        const auto wanted = double(window.repeats.size()) + 1;
        const auto daemon_count = std::max(daemons, peers.daemons + 1);
        const double own_most = bound->ratio * firsts + bound->allowance / double(daemon_count);
        // Daemons without a recent message may use their shares of the allowance unnoticed.
        const double all_most = bound->ratio * (firsts + double(peers.firsts)) +
                                bound->allowance * double(peers.daemons + 1) / double(daemon_count);
        const double part = wanted <= own_most ? own_part : lent_part;
        if ((peers.daemons == 0 && wanted > own_most) ||
            wanted + double(peers.repeats) > part * all_most) {
            return false;
        }
        window.repeats.push_back(now);
        return true;
    });
}

std::vector<budget_share> send_budget::own_shares(core::instant now)
{
    const auto bound = settings_.load();
    std::vector<budget_share> shares;
    windows_.for_each_shard([&](auto& windows) {
        for (auto& [service, window] : windows) {
            drop_before(window.firsts, now - bound->window);
            drop_before(window.repeats, now - bound->window);
            if (!window.firsts.empty() || !window.repeats.empty()) {
                shares.push_back({service, static_cast<std::uint32_t>(window.firsts.size()),
                                  static_cast<std::uint32_t>(window.repeats.size())});
            }
        }
    });
    return shares;
}

} // namespace ej::forwarding
