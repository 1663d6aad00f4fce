#pragma once

#include "endpoint_notice.h"
#include "loopback_proxy.h"
#include "soak_variant.h"

#include <core/address.h>
#include <core/instant.h>
#include <fleet/store_stand_in.h>
#include <harness/child_process.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ej::soak {

/// Runs the real programs as processes: daemons, each with a proxy in front of the store, and
/// endpoints, each behind a proxy. Faults are injected by signals and by the proxies. Not
/// thread-safe except for the functions marked so.
class soak_fleet {
public:
    static constexpr std::size_t daemon_count = 4;
    static constexpr std::size_t engine_count = 5;
    static constexpr std::size_t endpoint_count = 8; ///< The first `engine_count` are engines.

    /// Starts the programs in the folder `programs`; their logs are written to `folder`. No proxy
    /// is in front of engines that crash: it would accept connections for one that is down.
    /// With `other_program`, every second start of a daemon runs that program. Throws
    /// std::runtime_error.
    soak_fleet(std::string programs, std::string folder, const soak_variant& variant,
               std::string other_program = {});
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;
    soak_fleet(soak_fleet&&) = delete;
    soak_fleet& operator=(soak_fleet&&) = delete;

    /// Waits until every daemon is ready; false after 20 s.
    [[nodiscard]] bool wait_until_ready() const;

    /// The address of a daemon for callers. Thread-safe.
    [[nodiscard]] core::address callers(std::size_t daemon) const;

    /// True if engines crash on a prompt part. Thread-safe.
    [[nodiscard]] bool engines_crash() const { return variant_.engines_crash; }

    /// True if the daemon's readiness check succeeds, as a load balancer would test it.
    /// Thread-safe.
    [[nodiscard]] bool ready(std::size_t daemon) const;

    /// True if the daemon listens, so that it handles signals; a signal before that ends the
    /// process.
    [[nodiscard]] bool listens(std::size_t daemon) const;

    void signal_daemon(std::size_t daemon, int number);
    /// Waits for the process to end and starts the daemon again. Returns the exit code.
    int restart_daemon(std::size_t daemon);
    /// True if the process has ended without a preceding SIGTERM or SIGKILL from the soak.
    [[nodiscard]] bool daemon_ended_unexpectedly(std::size_t daemon);

    void signal_endpoint(std::size_t endpoint, int number);
    /// The exit code of the endpoint's process; empty while it runs.
    [[nodiscard]] std::optional<int> endpoint_exit(std::size_t endpoint);
    /// Starts the endpoint under a new name and registers it, then removes the old entry.
    void replace_endpoint(std::size_t endpoint);
    /// Changes the endpoint's registration to draining.
    void drain_endpoint(std::size_t endpoint);

    [[nodiscard]] loopback_proxy& store_proxy(std::size_t daemon);
    [[nodiscard]] loopback_proxy& endpoint_proxy(std::size_t endpoint);
    [[nodiscard]] fleet::store_stand_in& store() { return store_; }

    /// Writes the configuration with the next version number.
    void configure();

    /// Ends all faults of the proxies and the outage of the store.
    void end_all_faults();

    /// What the endpoints recorded so far; lines that are not notices are skipped.
    [[nodiscard]] std::vector<endpoint_notice> notices() const;

    /// Waits until the status of the roll-out is `state`; false after 20 s.
    [[nodiscard]] bool wait_for_rollout(const std::string& state);

    /// The number of runs at endpoints of the version that is rolled out.
    [[nodiscard]] std::size_t runs_at_target() const;

    /// The number of runs of each request, by its id.
    [[nodiscard]] std::map<std::string, int> runs() const;

private:
    struct endpoint_slot;
    struct daemon_slot;

    void start_daemon(std::size_t number);
    void start_endpoint(std::size_t number);
    void start_bad_version();
    void register_endpoint(const endpoint_slot& one, const std::string& state);

    std::string programs_;
    std::string folder_;
    soak_variant variant_;
    std::string other_program_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    fleet::store_stand_in store_;
    std::vector<std::unique_ptr<daemon_slot>> daemons_;
    std::vector<std::unique_ptr<endpoint_slot>> endpoints_;
    std::vector<std::unique_ptr<harness::child_process>> targets_; // Of the bad version.
    int version_ = 0;
    std::uint64_t started_endpoints_ = 0;
    std::uint64_t started_daemons_ = 0;
    std::thread thread_;
};

} // namespace ej::soak
