#include <forwarding/send_budget.h>

#include <algorithm>

namespace ej::forwarding {

namespace {

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
    return windows_.with(service, [&](auto& windows) {
        send_window& window = windows[service];
        drop_before(window.firsts, now - bound->window);
        drop_before(window.repeats, now - bound->window);
        const double share = bound->allowance / double(std::max<std::size_t>(daemons, 1));
        if (double(window.repeats.size()) + 1 >
            bound->ratio * double(window.firsts.size()) + share) {
            return false;
        }
        window.repeats.push_back(now);
        return true;
    });
}

} // namespace ej::forwarding
