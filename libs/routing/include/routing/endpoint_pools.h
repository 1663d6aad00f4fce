#pragma once

#include <routing/endpoint_assignment.h>
#include <routing/load_report.h>
#include <routing/outcome.h>
#include <routing/pool.h>
#include <routing/pool_key_hash.h>
#include <routing/pool_summary.h>
#include <routing/reachable_domains.h>
#include <routing/request_features.h>
#include <routing/router.h>

#include <limits/daemon_share.h>
#include <limits/limiter.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/endpoint.h>

#include <memory>
#include <optional>

namespace ej::routing {

/// All endpoints known to a daemon, with one lock per shard of pools. Thread-safe.
class endpoint_pools {
public:
    endpoint_pools(std::unique_ptr<const router> router,
                   std::unique_ptr<const limits::limiter> limiter);

    /// Sets this daemon's share of every endpoint; takes effect with each endpoint's next load
    /// report.
    void set_share(const limits::daemon_share& share);

    /// Adds an endpoint, or replaces it after a restart.
    void add(const core::endpoint& endpoint, core::instant now);

    /// Removes an endpoint, so that it gets no new requests. Ignores unknown names.
    void remove(const pool_key& key, const core::endpoint_id& name);

    /// Applies a load report; ignores reports of unknown endpoints.
    void report(const pool_key& key, const load_report& report);

    /// Chooses an endpoint and counts the request as in flight there. Uses the local failure
    /// domain, or a remote one if the local pool has no free capacity. An endpoint where the
    /// request lost an attempt is used only if no other has free capacity. Empty if none has any.
    [[nodiscard]] std::optional<endpoint_assignment>
    acquire(const core::service_id& service, const reachable_domains& reachable_domains,
            const request_features& request, std::uint64_t seed, core::instant now);

    /// Applies the end of a request.
    void release(const endpoint_assignment& where, const outcome& outcome, core::instant now);

    /// The view of one endpoint, if it is known.
    [[nodiscard]] std::optional<endpoint_view> view(const pool_key& key,
                                                    const core::endpoint_id& name);

    /// Total capacity of the reachable pools of `service`.
    [[nodiscard]] pool_summary summary(const core::service_id& service,
                                       const reachable_domains& reachable_domains,
                                       core::instant now);

private:
    std::optional<endpoint_assignment> acquire_reachable(const core::service_id& service,
                                                         const reachable_domains& reachable_domains,
                                                         const request_features& request,
                                                         std::uint64_t seed, core::instant now);
    std::optional<core::endpoint_id> acquire_in(const pool_key& key,
                                                const request_features& request, std::uint64_t seed,
                                                core::instant now);

    std::unique_ptr<const router> router_;
    std::unique_ptr<const limits::limiter> limiter_;
    concurrency::snapshot<limits::daemon_share> share_;
    concurrency::sharded<pool_key, pool> pools_;
};

} // namespace ej::routing
