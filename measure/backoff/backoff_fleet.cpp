#include "backoff_fleet.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace ej::measure {

namespace {

using std::chrono::milliseconds;
using ms = std::chrono::duration<double, std::milli>;

constexpr std::size_t endpoint_count = 8;
constexpr milliseconds one_way{1};
constexpr milliseconds time_of_request{2'000};
constexpr milliseconds room{400}; // Needed to run a request.
constexpr milliseconds ejection{100};
constexpr milliseconds plain_retry_after{200};
constexpr milliseconds grace{500};
constexpr int most_sends = 4;
constexpr int most_returns = 3;
constexpr core::instant burst_begin{std::chrono::seconds(5)};
constexpr core::instant burst_end{std::chrono::seconds(15)};
constexpr core::instant end{std::chrono::seconds(20)};

core::duration in_duration(double time_ms)
{
    return std::chrono::duration_cast<core::duration>(ms(time_ms));
}

} // namespace

backoff_fleet::backoff_fleet(const history& chosen, const restart_strategy& how, std::uint64_t seed)
    : history_(chosen), how_(how), random_(seed), endpoints_(endpoint_count),
      views_(history_.daemons, std::vector<view>(endpoint_count))
{
    for (std::size_t number = 0; number < endpoint_count; ++number) {
        endpoints_[number].held.resize(history_.daemons);
        if (number < history_.warming) {
            endpoints_[number].warming_until = burst_begin + history_.warming_time;
        }
    }
}

void backoff_fleet::run(run_figures& into)
{
    figures_ = &into;
    arrive();
    events_.run_until(end + time_of_request + milliseconds(1'000));
    const double offered = ms(burst_end - burst_begin).count() * endpoint_count * history_.slots;
    into.idle += 1 - busy_ms_ / offered;
}

void backoff_fleet::arrive()
{
    if (events_.now() >= end) {
        return;
    }
    const bool burst = events_.now() >= burst_begin && events_.now() < burst_end;
    const double per_ms = (burst ? history_.burst : history_.load) * endpoint_count *
                          history_.slots / history_.run_ms;
    events_.schedule_after(in_duration(std::exponential_distribution(per_ms)(random_)),
                           [this] { arrive(); });
    const auto one = std::make_shared<request>();
    one->first = events_.now();
    one->deadline = events_.now() + time_of_request;
    one->draw = random_();
    one->daemon = random_() % history_.daemons;
    ++figures_->asked;
    send(one);
}

bool backoff_fleet::usable(const view& one) const
{
    const auto now = events_.now();
    return !how_.stops() || one.until == core::instant{} ||
           (one.until <= now &&
            one.in_flight < how_.limit(one.accepted, one.held, now - one.until));
}

void backoff_fleet::send(const request_ptr& one)
{
    std::optional<std::size_t> best;
    std::pair<bool, std::uint32_t> best_rank;
    ++turn_;
    for (std::size_t step = 0; step < endpoint_count; ++step) {
        const auto number = (turn_ + step) % endpoint_count;
        const view& known = view_of(*one, number);
        if (!usable(known) || std::ranges::find(one->tried, number) != one->tried.end()) {
            continue;
        }
        const std::pair rank{known.avoid_until > events_.now(), known.in_flight};
        if (!best || rank < best_rank) {
            best = number;
            best_rank = rank;
        }
    }
    if (!best) {
        wait_or_refuse(one);
        return;
    }
    ++view_of(*one, *best).in_flight;
    ++one->sends;
    one->tried.push_back(*best);
    events_.schedule_after(one_way, [this, to = *best, one] { reach(to, one); });
}

void backoff_fleet::wait_or_refuse(const request_ptr& one)
{
    const auto now = events_.now();
    std::optional<core::instant> earliest;
    for (std::size_t number = 0; number < endpoint_count && how_.stops(); ++number) {
        const view& known = view_of(*one, number);
        if (usable(known)) {
            continue;
        }
        // An endpoint whose limit is reached may be free soon.
        const auto at = known.until > now ? how_.release(known.until, one->draw)
                                          : now + milliseconds(50 + one->draw % 50);
        earliest = std::min(earliest.value_or(at), at);
    }
    const auto left = one->deadline - now;
    if (earliest && one->waited + (*earliest - now) <= how_.longest_wait(one->waited + left) &&
        *earliest + room <= one->deadline && one->sends < most_sends) {
        one->tried.clear();
        one->waited += *earliest - now;
        events_.schedule_at(*earliest, [this, one] { send(one); });
        return;
    }
    const auto delay = std::max(earliest.value_or(now) - now, core::duration(plain_retry_after));
    refuse(one, delay + delay / 4 * (one->draw % 256) / 256);
}

void backoff_fleet::refuse(const request_ptr& one, core::duration retry_after)
{
    ++figures_->refused;
    const auto left = one->deadline - events_.now();
    if (one->returns++ == most_returns || left <= milliseconds(0)) {
        return;
    }
    one->sends = 0;
    one->waited = {};
    one->tried.clear();
    one->daemon = random_() % history_.daemons;
    events_.schedule_after(std::min(retry_after, left / 3), [this, one] { send(one); });
}

void backoff_fleet::reach(std::size_t to, const request_ptr& one)
{
    const auto now = events_.now();
    const view& known = view_of(*one, to);
    if (now < known.promised) {
        ++figures_->inside;
        figures_->late_inside += now > known.answered + grace ? 1 : 0;
    }
    endpoint& at = endpoints_[to];
    const bool above = history_.per_daemon > 0 && at.held[one->daemon] >= history_.per_daemon;
    if (at.warming_until > now && now >= burst_begin) {
        turned_away(to, one, at.warming_until - now);
    }
    else if (above || (at.running == history_.slots && at.queue.size() == history_.slots / 2)) {
        turned_away(to, one, history_.retry_after);
    }
    else if (++at.held[one->daemon]; at.running < history_.slots) {
        begin(to, one);
    }
    else {
        at.queue.emplace_back(one->daemon, one);
    }
}

void backoff_fleet::turned_away(std::size_t by, const request_ptr& one, core::duration retry_after)
{
    ++figures_->turned_away;
    view& asked = view_of(*one, by);
    const auto now = events_.now();
    if (asked.promised <= now) {
        asked.answered = now;
    }
    asked.promised = std::max(asked.promised, now + retry_after);
    events_.schedule_after(one_way, [this, by, one, until = now + retry_after] {
        view& known = view_of(*one, by);
        --known.in_flight;
        known.accepted = known.held = known.in_flight;
        known.avoid_until = events_.now() + ejection;
        known.until = std::max(known.until, until);
        for (auto& others : views_) {
            if (how_.shares()) {
                others[by].until = std::max(others[by].until, until);
            }
        }
        if (one->sends < most_sends) {
            send(one);
        }
        else {
            refuse(one, plain_retry_after);
        }
    });
}

void backoff_fleet::begin(std::size_t at, const request_ptr& one)
{
    ++endpoints_[at].running;
    const double time = std::exponential_distribution(1 / history_.run_ms)(random_);
    const auto now = events_.now();
    const auto from = std::clamp(now, burst_begin, burst_end);
    const auto until = std::clamp(now + in_duration(time), burst_begin, burst_end);
    busy_ms_ += ms(until - from).count();
    if (now <= one->deadline) {
        ++figures_->served;
        figures_->waits_ms.push_back(ms(now + one_way - one->first).count());
    }
    events_.schedule_after(in_duration(time), [this, at, one] { done(at, one); });
}

void backoff_fleet::done(std::size_t at, const request_ptr& one)
{
    endpoint& here = endpoints_[at];
    --here.running;
    --here.held[one->daemon];
    view& known = view_of(*one, at);
    known.held = std::min(known.held, --known.in_flight);
    if (!here.queue.empty()) {
        const auto next = here.queue.front().second;
        here.queue.erase(here.queue.begin());
        begin(at, next);
    }
}

} // namespace ej::measure
