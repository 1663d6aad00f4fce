#pragma once

#include <caller_front/front_settings.h>
#include <caller_front/site.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>

namespace ej::front {

/// A daemon that forwards callers' requests to endpoints: lanes for callers, and a thread that
/// watches the store and answers the load balancer's health checks.
class front_daemon {
public:
    /// Starts to listen and to watch the store. Error: Unavailable when an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<front_daemon>> start(const front_settings& settings,
                                                               site where);

    ~front_daemon();
    front_daemon(const front_daemon&) = delete;
    front_daemon& operator=(const front_daemon&) = delete;
    front_daemon(front_daemon&&) = delete;
    front_daemon& operator=(front_daemon&&) = delete;

    /// Applies the settings that can change while the daemon runs: the retry budget.
    void reconfigure(const front_settings& settings);

    /// Drains the daemon: it reports not ready, and each answer closes its connection. Returns when
    /// no request is open and the load balancer has had time to notice, but no later than the end
    /// of the grace period.
    void drain();

    /// The bound address for callers.
    [[nodiscard]] core::address caller_address() const;

    /// The bound address for health checks and metrics.
    [[nodiscard]] core::address ready_address() const;

private:
    struct parts;
    explicit front_daemon(std::unique_ptr<parts> made);
    std::unique_ptr<parts> parts_;
};

} // namespace ej::front
