#pragma once

#include <caller_front/front_settings.h>
#include <caller_front/site.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>

namespace ej::front {

/// A daemon that forwards callers' requests to endpoints: lanes for callers, and a thread that
/// follows the store and answers the balancer.
class front_daemon {
public:
    /// Listens and begins to follow the store. Error: Unavailable when an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<front_daemon>> start(const front_settings& settings,
                                                               site where);

    ~front_daemon();
    front_daemon(const front_daemon&) = delete;
    front_daemon& operator=(const front_daemon&) = delete;
    front_daemon(front_daemon&&) = delete;
    front_daemon& operator=(front_daemon&&) = delete;

    /// Applies what may change while the daemon runs: the budget of repeated sends.
    void adopt(const front_settings& settings);

    /// Begins to leave: not ready, each answer closes its connection. Returns when no request is
    /// open and the balancer has had time to notice, at the end of the grace at the latest.
    void leave();

    /// The address for callers.
    [[nodiscard]] core::address caller_address() const;

    /// The address for the balancer and for metrics.
    [[nodiscard]] core::address ready_address() const;

private:
    struct parts;
    explicit front_daemon(std::unique_ptr<parts> made);
    std::unique_ptr<parts> parts_;
};

} // namespace ej::front
