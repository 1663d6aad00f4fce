#pragma once

#include "daemon_record.h"
#include "front_context.h"
#include "net.h"
#include "store_race.h"
#include "store_update.h"

#include <caller_front/store_layout.h>

#include <forwarding/endpoint_registry.h>
#include <forwarding/query_watchdog.h>
#include <forwarding/store_poll_schedule.h>
#include <forwarding/store_query_plan.h>

#include <platform/store.h>
#include <platform/store_listing.h>

#include <core/address.h>
#include <core/revision.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ej::front {

/// Mirrors the configuration, the endpoints and the other daemons from the store, by its own
/// queries and by updates from daemons of its failure domain. While the store is unreachable, the
/// last known state stays in use. A query without an answer is repeated on another connection once
/// there is a sign that the store would answer. Used on one thread.
class store_follower {
public:
    /// All arguments outlive the follower.
    store_follower(front_context& context, platform::store& store, const store_layout& layout,
                   asio::io_context& loop);

    /// Watches the store for as long as the loop runs.
    boost::asio::awaitable<void> run();

    /// Applies changes that a daemon of this failure domain read from the store.
    void apply_update(const store_update& update);

private:
    /// An answer that took longer than this beyond its wait is out of date, for example after the
    /// daemon was suspended, and is not shared with peers.
    static constexpr core::duration longest_delay = std::chrono::milliseconds(400);

    /// Queries under way, shared by their coroutines.
    using race_ptr = std::shared_ptr<store_race>;

    boost::asio::awaitable<absl::Status> ask(forwarding::store_query what);
    boost::asio::awaitable<void> send_query(race_ptr race, forwarding::store_query what);
    boost::asio::awaitable<void> send_probe();
    void start_query(const race_ptr& race, forwarding::store_query what);
    void start_probe();
    boost::asio::awaitable<absl::Status> list(race_ptr race);
    boost::asio::awaitable<absl::Status> poll_changes(race_ptr race);
    boost::asio::awaitable<void> wait_until_due(core::duration min_wait);
    boost::asio::awaitable<void> sleep_until(core::instant until);
    void apply_listing(const platform::store_listing& listing);
    void confirm_rules(core::instant as_of);
    void note_hint(core::revision told);
    bool apply(const platform::store_item& item);
    void apply_rules(const std::string& value);
    bool apply_endpoint(const core::endpoint_id& name, const platform::store_item& item);
    void apply_daemon(const platform::store_item& item);
    void apply_held_part(suspects::part_digest part, const platform::store_item& item);
    void apply_suspect(suspects::request_digest request, const platform::store_item& item);
    void apply_order(const core::service_id& service, const platform::store_item& item);
    void apply_rollout(const core::service_id& service, const platform::store_item& item);
    void retain_rollouts(const platform::store_listing& listing);
    void share_changes(core::revision since, core::revision as_of,
                       std::vector<platform::store_item> items);
    void note_result(const absl::Status& status, forwarding::store_query asked_for);
    void publish();
    void publish_daemons();

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    asio::io_context& loop_;
    asio::steady_timer due_timer_;
    forwarding::store_poll_schedule pace_;
    forwarding::query_watchdog watchdog_;
    forwarding::store_query_plan plan_;
    forwarding::endpoint_registry log_;
    std::map<std::string, daemon_record> daemons_; // The other daemons, by their keys.
    core::revision as_of_;
    core::revision hinted_;     // The newest one that a peer told of without all of its changes.
    bool hint_pending_ = false; // Ends the pause after a failed query.
    bool listed_ = false;       // The state is that of the store at `as_of_`, or later.
    bool changed_ = false;      // The endpoints have changed since the last `publish`.
    bool peers_changed_ = false;
    bool store_unreachable_ = false; // Neither this daemon nor a peer reaches it.
    bool query_lost_ = false;        // The last query of this daemon had no answer.
};

} // namespace ej::front
