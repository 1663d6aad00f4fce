#pragma once

#include "config_peers.h"
#include "config_store.h"

#include <config/config_follower.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace ej::runtime {

/// Carries out what a follower decides: watches the platform, talks to peers, puts configurations
/// in force. Thread-safe.
class config_driver : public std::enable_shared_from_this<config_driver> {
public:
    /// Called with each configuration put in force, not under a lock; two calls may overlap and
    /// come in either order, so the receiver compares revisions.
    using apply_function = std::function<void(const config::configuration&)>;

    /// `store` and `peers` outlive the link.
    config_driver(boost::asio::any_io_executor executor, config::follower_settings settings,
                  std::uint64_t seed, config_store& store, config_peers& peers,
                  apply_function apply);

    /// Begins to follow, until the executor stops.
    void start();

    /// The live daemons known now.
    void set_members(std::vector<config::member> members);

    /// `payload` has come from the daemon on `from`; one that can't be read is dropped, with the
    /// error returned.
    absl::Status receive(const core::vm_id& from, std::string_view payload);

    /// A change was accepted at this daemon.
    void accepted(config::configuration made, config::stored_tail stored);

    /// The configuration in force.
    [[nodiscard]] config::configuration in_force() const;

    /// The revision last heard from each member.
    [[nodiscard]] std::vector<config::member_revision> members() const;

    /// How far this daemon is.
    [[nodiscard]] config::follower_status status() const;

private:
    void handle(const config::follower_event& event);
    void carry_out(const config::watch_tail& effect);
    void carry_out(const config::read_base& effect);
    void carry_out(const config::apply_configuration& effect);
    void carry_out(const config::send_to_peer& effect);

    static boost::asio::awaitable<void> tick(std::weak_ptr<config_driver> driver);
    static boost::asio::awaitable<void> watch(std::shared_ptr<config_driver> driver,
                                              config::watch_tail asked);
    static boost::asio::awaitable<void> fetch_base(std::shared_ptr<config_driver> driver);
    [[nodiscard]] core::instant next_wake() const;

    boost::asio::any_io_executor executor_;
    config_store& store_;
    config_peers& peers_;
    apply_function apply_;
    std::atomic<bool> known_absent_ = false; // The platform was asked and holds no log.
    mutable std::mutex mutex_;
    config::config_follower follower_;
};

} // namespace ej::runtime
