#include "store_follower.h"

#include "clock.h"
#include "store_result.h"

#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
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

// An answer that took longer than this beyond its wait is out of date, for example after the daemon
// was suspended, and is not shared with peers.
constexpr milliseconds longest_delay{400};

void log_if_failed(store_query what, const absl::Status& status, core::duration took)
{
    if (status.ok()) {
        return;
    }
    const auto took_ms = std::chrono::duration_cast<milliseconds>(took).count();
    logging::log(logging::level::info, "query to the store failed",
                 {{"query", what == store_query::changes ? "changes" : "listing"},
                  {"took_ms", std::to_string(took_ms)},
                  {"error", std::string(status.message())}});
}

} // namespace

store_follower::store_follower(front_context& context, platform::store& store,
                               const store_layout& layout, asio::io_context& loop)
    : context_(context), store_(store), layout_(layout), due_timer_(loop),
      pace_(context.settings.apply_within), plan_(context.settings.store_deadline),
      log_(context.endpoints)
{
}

asio::awaitable<void> store_follower::run()
{
    core::duration pause = first_pause;
    for (;;) {
        absl::Status status;
        const auto asked_for = plan_.next();
        pace_.record_poll(now());
        if (asked_for == store_query::changes) {
            status = co_await poll_changes();
        }
        else {
            status = co_await list();
        }
        note_result(status, asked_for);
        publish();
        if (status.ok()) {
            pause = first_pause;
            pace_.record_up_to_date(now());
            co_await wait_until_due(core::duration::zero());
        }
        else if (plan_.next() == asked_for) {
            co_await wait_until_due(pause);
            pause = std::min<core::duration>(2 * pause, longest_pause);
        }
    }
}

/// Waits until the next query to the store is due, at least for `min_wait`.
asio::awaitable<void> store_follower::wait_until_due(core::duration min_wait)
{
    const auto earliest = now() + min_wait;
    for (auto until = std::max(earliest, pace_.next_poll()); until > now();
         until = std::max(earliest, pace_.next_poll())) {
        due_timer_.expires_at(until);
        error_code cancelled; // Cancelled when the due time has changed: the loop reads it again.
        co_await due_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<absl::Status> store_follower::list()
{
    std::string prefix = layout_.followed_prefix();
    const auto began = since_boot();
    const auto listing = co_await store_.scan(std::move(prefix), plan_.answer_within());
    const auto took = since_boot() - began;
    log_if_failed(store_query::listing, listing.status(), took);
    plan_ = plan_.after(store_result_of(listing.status()), took);
    if (!listing.ok()) {
        co_return listing.status();
    }
    std::set<core::endpoint_id> present;
    daemons_.clear();
    context_.holds_in_store.clear();
    peers_changed_ = true;
    for (const platform::store_item& item : listing->items) {
        apply(item);
        if (auto name = layout_.endpoint_of(item.key)) {
            present.insert(*std::move(name));
        }
    }
    log_.answered(now());
    log_.retain(present, listing->as_of, now());
    as_of_ = listing->as_of;
    listed_ = changed_ = true;
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status> store_follower::poll_changes()
{
    std::string prefix = layout_.followed_prefix();
    const auto since = as_of_;
    const auto began = since_boot();
    const auto wait = std::chrono::duration_cast<milliseconds>(pace_.interval());
    const auto changes =
        co_await store_.poll_changes(std::move(prefix), since, wait, plan_.answer_within());
    const auto took = since_boot() - began;
    log_if_failed(store_query::changes, changes.status(), took);
    const bool waited = changes.ok() && changes->items.empty();
    const auto result = store_result_of(changes.status());
    plan_ = plan_.after(result, waited ? took - wait : took);
    if (!changes.ok()) {
        listed_ = result != store_result::compacted;
        co_return changes.status();
    }
    log_.answered(now());
    // Updates from peers may have been applied in the meantime and may be newer than this answer.
    const bool overtaken = as_of_ != since;
    std::vector<platform::store_item> update;
    for (const platform::store_item& item : changes->items) {
        if (item.revision > as_of_ && apply(item)) {
            update.push_back(item);
        }
    }
    as_of_ = std::max(as_of_, changes->as_of);
    if (!overtaken && took < wait + longest_delay) {
        share_changes(since, changes->as_of, std::move(update));
    }
    co_return absl::OkStatus();
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
            due_timer_.cancel();
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
    pace_.record_up_to_date(now());
    publish();
}

// Each later update tells of the same gap again; only the first time says more than before.
void store_follower::note_hint(core::revision told)
{
    if (told > hinted_) {
        hinted_ = told;
        logging::log(logging::level::info, "newer state at a peer",
                     {{"as_of", std::to_string(as_of_.value())},
                      {"newer", std::to_string(told.value())}});
    }
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
    std::vector<core::vm_id> members{context_.settings.vm};
    std::size_t rank = 0;
    for (const auto& [key, daemon] : daemons_) {
        peers.push_back(daemon.peer_listen);
        by_domain[daemon.domain].push_back(daemon.peer_listen);
        members.emplace_back(key.substr(layout_.daemons_prefix().size()));
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
