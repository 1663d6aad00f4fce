#pragma once

#include "front_context.h"
#include "net.h"

#include <caller_front/store_layout.h>

#include <forwarding/fleet_log.h>

#include <platform/store.h>
#include <platform/store_listing.h>

#include <core/address.h>
#include <core/revision.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace ej::front {

/// Keeps the configuration, the endpoints and the number of daemons as the store has them; while
/// the store is away, what was known stays in force. Used on one thread.
class store_follower {
public:
    /// All arguments outlive the follower.
    store_follower(front_context& context, platform::store& store, const store_layout& layout);

    /// Follows the store for as long as the loop runs.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<absl::Status> list();
    boost::asio::awaitable<absl::Status> follow();
    void apply(const platform::store_item& item);
    void apply_rules(const std::string& value);
    void apply_endpoint(const core::endpoint_id& name, const platform::store_item& item);
    void apply_daemon(const platform::store_item& item);
    void note_answer(const absl::Status& status);
    void publish();

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    std::chrono::milliseconds interval_;
    forwarding::fleet_log log_;
    std::map<std::string, core::address> daemons_; // Where the others hear, by their keys.
    core::revision as_of_;
    bool listed_ = false;  // False: the whole listing has to be read.
    bool changed_ = false; // The endpoints.
    bool peers_changed_ = false;
    bool away_ = false;
};

} // namespace ej::front
