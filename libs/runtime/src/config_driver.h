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

/// Carries out the effects of a `config_follower`: watches the platform, exchanges messages with
/// peers and applies configurations. Thread-safe.
class config_driver : public std::enable_shared_from_this<config_driver> {
public:
    /// Called with each configuration that comes into force, without a lock held. Two calls may
    /// overlap and come in either order, so the receiver compares revisions.
    using apply_function = std::function<void(const config::configuration&)>;

    /// `store` and `peers` outlive the driver.
    config_driver(boost::asio::any_io_executor executor, config::follower_settings settings,
                  std::uint64_t seed, config_store& store, config_peers& peers,
                  apply_function apply);

    /// Starts following the configuration; ends when the executor stops.
    void start();

    /// Sets the live daemons.
    void set_members(std::vector<config::member> members);

    /// Handles a message from the daemon on VM `from`. A malformed message is dropped and its parse
    /// error returned.
    absl::Status receive(const core::vm_id& from, std::string_view payload);

    /// Reports a change that the platform accepted from this daemon.
    void on_change_accepted(config::configuration made, config::stored_change_log stored);

    /// The configuration in force.
    [[nodiscard]] config::configuration in_force() const;

    /// The revision that each member reported last.
    [[nodiscard]] std::vector<config::member_revision> members() const;

    /// The follower's status: revision in force and newest known revision.
    [[nodiscard]] config::follower_status status() const;

private:
    void handle(const config::follower_event& event);
    void carry_out(const config::watch_change_log& effect);
    void carry_out(const config::read_snapshot& effect);
    void carry_out(const config::apply_configuration& effect);
    void carry_out(const config::send_to_peer& effect);

    static boost::asio::awaitable<void> tick(std::weak_ptr<config_driver> driver);
    static boost::asio::awaitable<void> watch(std::shared_ptr<config_driver> driver,
                                              config::watch_change_log asked);
    static boost::asio::awaitable<void> fetch_base(std::shared_ptr<config_driver> driver);
    [[nodiscard]] core::instant next_wake() const;

    boost::asio::any_io_executor executor_;
    config_store& store_;
    config_peers& peers_;
    apply_function apply_;
    std::atomic<bool> known_absent_ = false; // The last read found no log on the platform.
    mutable std::mutex mutex_;
    config::config_follower follower_;
};

} // namespace ej::runtime
