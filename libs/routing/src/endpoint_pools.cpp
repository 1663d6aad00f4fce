#include <routing/endpoint_pools.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace ej::routing {

namespace {

pool_summary combined(const pool_summary& left, const pool_summary& right)
{
    const double work = left.work_per_second + right.work_per_second;
    const double weighted =
        left.slot_rate * left.work_per_second + right.slot_rate * right.work_per_second;
    return {work,
            work > 0 ? weighted / work : 0,
            left.slots + right.slots,
            left.open + right.open,
            left.urgent_open + right.urgent_open,
            std::min(left.next_unblock, right.next_unblock)};
}

} // namespace

endpoint_pools::endpoint_pools(std::unique_ptr<const router> router,
                               std::unique_ptr<const limits::limiter> limiter)
    : router_(std::move(router)), limiter_(std::move(limiter)), share_(limits::daemon_share{})
{
}

void endpoint_pools::set_share(const limits::daemon_share& share)
{
    share_.store(share);
}

void endpoint_pools::add(const core::endpoint& endpoint, core::instant now)
{
    const auto share = share_.load();
    const pool_key key{endpoint.service, endpoint.domain};
    pools_.with(key, [&](auto& pools) { pools[key].add(endpoint, *limiter_, *share, now); });
}

void endpoint_pools::remove(const pool_key& key, const core::endpoint_id& name)
{
    pools_.with(key, [&](auto& pools) { pools[key].remove(name); });
}

void endpoint_pools::report(const pool_key& key, const load_report& report)
{
    const auto share = share_.load();
    pools_.with(key, [&](auto& pools) { pools[key].report(report, *limiter_, *share); });
}

std::optional<core::endpoint_id> endpoint_pools::acquire_in(const pool_key& key,
                                                            const request_features& request,
                                                            std::uint64_t seed, core::instant now)
{
    return pools_.with(key, [&](auto& pools) -> std::optional<core::endpoint_id> {
        const auto found = pools.find(key);
        if (found == pools.end()) {
            return std::nullopt;
        }
        return found->second.acquire(request, *router_, seed, now);
    });
}

std::optional<endpoint_assignment>
endpoint_pools::acquire(const core::service_id& service, const reachable_domains& reachable_domains,
                        const request_features& request, std::uint64_t seed, core::instant now)
{
    auto other = acquire_reachable(service, reachable_domains, request, seed, now);
    if (other || request.lost_at.empty()) {
        return other;
    }
    request_features anywhere = request;
    anywhere.lost_at.clear();
    return acquire_reachable(service, reachable_domains, anywhere, seed, now);
}

std::optional<endpoint_assignment> endpoint_pools::acquire_reachable(
    const core::service_id& service, const reachable_domains& reachable_domains,
    const request_features& request, std::uint64_t seed, core::instant now)
{
    const auto try_domain =
        [&](const core::failure_domain_id& domain) -> std::optional<endpoint_assignment> {
        const pool_key key{service, domain};
        const auto chosen = acquire_in(key, request, seed, now);
        if (!chosen) {
            return std::nullopt;
        }
        return endpoint_assignment{key, *chosen, request.urgent};
    };
    if (auto local = try_domain(reachable_domains.local)) {
        return local;
    }
    for (const core::failure_domain_id& domain : reachable_domains.remote) {
        if (auto remote = try_domain(domain)) {
            return remote;
        }
    }
    return std::nullopt;
}

void endpoint_pools::release(const endpoint_assignment& where, const outcome& outcome,
                             core::instant now)
{
    pools_.with(where.pool, [&](auto& pools) {
        pools[where.pool].release(where.endpoint, outcome, where.urgent, now);
    });
}

std::optional<endpoint_view> endpoint_pools::view(const pool_key& key,
                                                  const core::endpoint_id& name)
{
    return pools_.with(key, [&](auto& pools) { return pools[key].view(name); });
}

pool_summary endpoint_pools::summary(const core::service_id& service,
                                     const reachable_domains& reachable_domains, core::instant now)
{
    const auto of = [&](const core::failure_domain_id& domain) {
        const pool_key key{service, domain};
        return pools_.with(key, [&](auto& pools) { return pools[key].summary(now); });
    };
    return std::transform_reduce(reachable_domains.remote.begin(), reachable_domains.remote.end(),
                                 of(reachable_domains.local), combined, of);
}

} // namespace ej::routing
