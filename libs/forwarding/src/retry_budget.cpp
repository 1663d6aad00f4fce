#include <forwarding/retry_budget.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace ej::forwarding {

namespace {

// Fraction of its share that a daemon may use whatever the others report, and fraction of the
// total budget that may be in use when it sends beyond it. The remainder covers what the others may
// still use of their own.
constexpr double reserved_part = 0.4;
constexpr double shared_part = 0.7;
// Other daemons learn of a send within this interval. In each one, a daemon takes at most its part
// of what is left, since the streams of a failed domain are resumed by all daemons at once.
constexpr std::chrono::milliseconds report_interval{50};

/// A number from 0 to below 1 that differs between nearby instants.
double draw_of(core::instant now)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    constexpr unsigned fraction_bits = 53;
    auto mixed = static_cast<std::uint64_t>(now.time_since_epoch().count()) * multiplier;
    mixed = (mixed ^ (mixed >> 32U)) * multiplier;
    return std::ldexp(double(mixed >> (64U - fraction_bits)), -int(fraction_bits));
}

/// True if `window` may take one more of the `left` sends that `daemons` share.
bool take_shared(send_window& window, double left, std::size_t daemons, core::instant now)
{
    if (left < 1) {
        return false;
    }
    if (now - window.lending_since >= report_interval) {
        window.lending_since = now;
        window.lent = 0;
    }
    // `left` includes what was not used of this interval's part.
    const double part = (left + window.lent) / double(daemons);
    if (window.lent + 1 > part && (window.lent > 0 || draw_of(now) >= part)) {
        return false;
    }
    ++window.lent;
    return true;
}

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
        const double reserved = peers.daemons == 0 ? own_most : reserved_part * own_most;
        const double left = shared_part * all_most + 1 - (wanted + double(peers.further_sends));
        if (wanted > reserved &&
            (peers.daemons == 0 || !take_shared(window, left, peers.daemons + 1, now))) {
            return false;
        }
        window.further_sends.push_back(now);
        ++takes_;
        return true;
    });
}

double retry_budget::requests_per_second(const core::service_id& service, core::instant now)
{
    const auto bound = settings_.load();
    const auto own = windows_.with(service, [&](auto& windows) {
        const auto found = windows.find(service);
        if (found == windows.end()) {
            return std::size_t{0};
        }
        drop_before(found->second.first_sends, now - bound->window);
        return found->second.first_sends.size();
    });
    const auto all = double(own) + double(others_.sum(service, now).first_sends);
    return all / std::chrono::duration<double>(bound->window).count();
}

std::vector<service_share> retry_budget::own_shares(core::instant now)
{
    const auto bound = settings_.load();
    std::vector<service_share> shares;
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
