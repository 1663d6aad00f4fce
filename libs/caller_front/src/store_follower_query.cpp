#include "store_follower.h"

#include "clock.h"
#include "store_result.h"

#include <logging/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

using forwarding::store_query;
using forwarding::store_result;
using std::chrono::milliseconds;

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

/// Sends a query, and sends it again whenever the watchdog calls for it, until the race is over.
asio::awaitable<absl::Status> store_follower::ask(store_query what)
{
    const auto race = std::make_shared<store_race>();
    const bool waits = what == store_query::changes;
    watchdog_.record_query(now(), waits ? pace_.interval() : core::duration::zero());
    start_query(race, what);
    while (!race->over()) {
        co_await sleep_until(std::min(watchdog_.next_probe(), watchdog_.next_query()));
        if (!race->over() && now() >= watchdog_.next_query()) {
            context_.metrics.count("store_queries_repeated_total", {});
            watchdog_.record_repeat(now());
            start_query(race, what);
        }
        if (!race->over() && now() >= watchdog_.next_probe()) {
            start_probe();
        }
    }
    co_return race->end();
}

void store_follower::start_query(const race_ptr& race, store_query what)
{
    pace_.record_poll(now());
    hint_pending_ = false;
    race->record_query();
    asio::co_spawn(loop_, [this, race, what] { return send_query(race, what); }, asio::detached);
}

asio::awaitable<void> store_follower::send_query(race_ptr race, store_query what)
{
    absl::Status status;
    if (what == store_query::changes) {
        status = co_await poll_changes(race);
    }
    else {
        status = co_await list(race);
    }
    const auto result = store_result_of(status);
    const bool answered = result != store_result::late && result != store_result::unreachable;
    if (!race->over() && answered) {
        watchdog_.record_answer();
    }
    race->record_end(status, answered);
    due_timer_.cancel();
}

void store_follower::start_probe()
{
    watchdog_.record_probe(now());
    asio::co_spawn(loop_, [this] { return send_probe(); }, asio::detached);
}

asio::awaitable<void> store_follower::send_probe()
{
    std::string key = layout_.daemon_key(context_.settings.vm);
    const auto status = co_await store_.probe(std::move(key), context_.settings.store_deadline);
    context_.metrics.count("store_probes_total", {{"result", status.ok() ? "answered" : "none"}});
    if (status.ok()) {
        watchdog_.record_probe_answer();
        due_timer_.cancel();
    }
}

/// Records that the rules in force were those of the store at `as_of`.
void store_follower::confirm_rules(core::instant as_of)
{
    context_.rules_confirmed_at = std::max(context_.rules_confirmed_at.load(), as_of);
}

asio::awaitable<absl::Status> store_follower::list(race_ptr race)
{
    std::string prefix = layout_.followed_prefix();
    const auto sent_at = now();
    const auto began = since_boot();
    const auto listing = co_await store_.scan(std::move(prefix), plan_.answer_within());
    const auto took = since_boot() - began;
    log_if_failed(store_query::listing, listing.status(), took);
    if (race->over()) { // An older listing would take back newer changes.
        co_return listing.status();
    }
    plan_ = plan_.after(store_result_of(listing.status()), took);
    if (!listing.ok()) {
        co_return listing.status();
    }
    apply_listing(*listing);
    confirm_rules(sent_at);
    if (took < longest_delay) {
        // Without the changes that led here: a peer that lacks them queries the store.
        share_changes(as_of_, as_of_, {});
    }
    co_return absl::OkStatus();
}

void store_follower::apply_listing(const platform::store_listing& listing)
{
    std::set<core::endpoint_id> present;
    daemons_.clear();
    context_.holds_in_store.clear();
    context_.suspects_in_store.clear();
    peers_changed_ = true;
    for (const platform::store_item& item : listing.items) {
        apply(item);
        if (auto name = layout_.endpoint_of(item.key)) {
            present.insert(*std::move(name));
        }
    }
    retain_rollouts(listing);
    log_.answered(now());
    log_.retain(present, listing.as_of, now());
    as_of_ = listing.as_of;
    listed_ = changed_ = true;
}

asio::awaitable<absl::Status> store_follower::poll_changes(race_ptr race)
{
    std::string prefix = layout_.followed_prefix();
    const auto since = as_of_;
    const auto sent_at = now();
    const auto began = since_boot();
    const auto wait = std::chrono::duration_cast<milliseconds>(pace_.interval());
    const auto changes =
        co_await store_.poll_changes(std::move(prefix), since, wait, plan_.answer_within());
    const auto took = since_boot() - began;
    log_if_failed(store_query::changes, changes.status(), took);
    if (race->over()) {
        co_return changes.status();
    }
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
    confirm_rules(sent_at);
    if (!overtaken && took < wait + longest_delay) {
        share_changes(since, changes->as_of, std::move(update));
    }
    co_return absl::OkStatus();
}

} // namespace ej::front
