#include "store_follower.h"

#include "clock.h"
#include "draw_of.h"
#include "store_result.h"

#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

using forwarding::store_query;
using forwarding::store_result;
using std::chrono::milliseconds;

// Pause between two queries while the store does not answer. It doubles after each failure, up to
// `longest_pause`, so that a store that recovers under load is not queried by all daemons at once.
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

/// A number in [0, 1) that differs between VMs.
double draw_in_unit(const std::string& vm)
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(draw_of(vm) % steps) / static_cast<double>(steps);
}

} // namespace

store_follower::store_follower(front_context& context, platform::store& store,
                               const store_layout& layout, asio::io_context& loop)
    : context_(context), store_(store), layout_(layout), loop_(loop), due_timer_(loop),
      pace_(context.settings.apply_within), watchdog_(draw_in_unit(context.settings.vm.text())),
      plan_(context.settings.store_deadline), log_(context.endpoints)
{
}

asio::awaitable<void> store_follower::run()
{
    core::duration pause = first_pause;
    for (;;) {
        const auto asked_for = plan_.next();
        const auto status = co_await ask(asked_for);
        note_result(status, asked_for);
        publish();
        const auto result = store_result_of(status);
        if (result == store_result::complete) {
            pause = first_pause;
            pace_.record_up_to_date(now());
            co_await wait_until_due(core::duration::zero());
        }
        else if (result != store_result::late && plan_.next() == asked_for) {
            co_await wait_until_due(pause);
            pause = std::min<core::duration>(2 * pause, longest_pause);
        }
    }
}

/// Waits until the next query to the store is due, at least for `min_wait` unless a peer has told
/// of newer state since the last query.
asio::awaitable<void> store_follower::wait_until_due(core::duration min_wait)
{
    const auto earliest = now() + min_wait;
    const auto due = [&] {
        return hint_pending_ ? pace_.next_poll() : std::max(earliest, pace_.next_poll());
    };
    while (due() > now()) {
        co_await sleep_until(due());
    }
}

/// Waits until that time or until `due_timer_` is cancelled.
asio::awaitable<void> store_follower::sleep_until(core::instant until)
{
    due_timer_.expires_at(until);
    error_code cancelled;
    co_await due_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void store_follower::share_changes(core::revision since, core::revision as_of,
                                   std::vector<platform::store_item> items)
{
    store_update update{since, as_of, false, std::move(items)};
    // A configuration may not fit into a datagram.
    update.query_store = std::ranges::any_of(
        update.items, [&](const auto& item) { return item.key == layout_.rules_key(); });
    std::ranges::for_each(split_update(std::move(update)), context_.send_store_update);
}

void store_follower::apply_update(const store_update& update)
{
    if (!listed_ || update.as_of < as_of_) {
        return;
    }
    if (update.since > as_of_ || update.query_store) {
        context_.metrics.count("store_news_total", {{"use", update.query_store ? "hint" : "gap"}});
        if (update.as_of > as_of_) {
            pace_.request_early_poll();
            note_hint(update.as_of);
        }
        return;
    }
    context_.metrics.count("store_news_total", {{"use", "applied"}});
    log_.answered(now());
    if (std::exchange(store_unreachable_, false)) {
        context_.metrics.set("store_away", {}, 0);
        logging::log(logging::level::info, "store reachable through a peer",
                     {{"as_of", std::to_string(update.as_of.value())}});
    }
    for (const platform::store_item& item : update.items) {
        if (item.revision > as_of_) {
            apply(item);
        }
    }
    as_of_ = update.as_of;
    confirm_rules(now() - pace_.interval() - longest_delay); // The sender's query began after that.
    pace_.record_up_to_date(now());
    publish();
}

// Each later update tells of the same gap again; only the first time says more than before.
void store_follower::note_hint(core::revision told)
{
    if (told > hinted_) {
        hinted_ = told;
        hint_pending_ = true;
        watchdog_.record_newer_state();
        logging::log(
            logging::level::info, "newer state at a peer",
            {{"as_of", std::to_string(as_of_.value())}, {"newer", std::to_string(told.value())}});
    }
    due_timer_.cancel();
}

void store_follower::note_result(const absl::Status& status, store_query asked_for)
{
    const auto result = store_result_of(status);
    // Changes that the store can't send in one answer are followed by a listing.
    const bool lost = result == store_result::late || result == store_result::unreachable ||
                      (!status.ok() && asked_for == store_query::listing);
    if (lost) {
        log_.outage();
    }
    if (std::exchange(query_lost_, lost) && !lost) {
        context_.store_returned();
    }
    if (std::exchange(store_unreachable_, lost) == lost) {
        return;
    }
    context_.metrics.set("store_away", {}, lost ? 1 : 0);
    logging::log(
        lost ? logging::level::warn : logging::level::info,
        lost ? "store unreachable" : "store reachable again",
        {{"error", std::string(status.message())}, {"as_of", std::to_string(as_of_.value())}});
}

void store_follower::publish_daemons()
{
    const auto own_key = layout_.daemon_key(context_.settings.vm);
    std::vector<core::address> peers;
    std::vector<core::address> domain_peers;
    std::map<core::failure_domain_id, std::vector<core::address>> by_domain;
    std::map<core::vm_id, core::address> by_vm;
    std::vector<core::vm_id> members{context_.settings.vm};
    std::size_t rank = 0;
    for (const auto& [key, daemon] : daemons_) {
        peers.push_back(daemon.peer_listen);
        by_domain[daemon.domain].push_back(daemon.peer_listen);
        members.emplace_back(key.substr(layout_.daemons_prefix().size()));
        by_vm[members.back()] = daemon.peer_listen;
        if (daemon.domain == context_.settings.domain) {
            domain_peers.push_back(daemon.peer_listen);
            rank += key < own_key ? 1 : 0;
        }
    }
    pace_.set_rank(rank);
    context_.parts.members.store(std::move(members));
    context_.daemons = peers.size() + 1;
    context_.peers.store(std::move(peers));
    context_.peers_by_domain.store(std::move(by_domain));
    context_.peers_by_vm.store(std::move(by_vm));
    context_.domain_peers.store(std::move(domain_peers));
}

void store_follower::publish()
{
    if (std::exchange(peers_changed_, false)) {
        publish_daemons();
    }
    changed_ = log_.expire(now()) || changed_;
    if (std::exchange(changed_, false)) {
        log_.publish();
    }
    if (log_.review(now())) {
        context_.stats.review(*context_.endpoints.load(), now());
    }
}

} // namespace ej::front
