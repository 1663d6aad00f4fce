#pragma once

#include <routing/candidates.h>
#include <routing/endpoint_view.h>
#include <routing/index_set.h>
#include <routing/load_report.h>
#include <routing/outcome.h>
#include <routing/pool_summary.h>
#include <routing/request_features.h>
#include <routing/router.h>

#include <limits/daemon_share.h>
#include <limits/limiter.h>

#include <core/endpoint.h>

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ej::routing {

/// The endpoints of one service in one failure domain. The cost of an event does not depend on the
/// number of endpoints. Not thread-safe.
class pool {
public:
    /// Adds an endpoint, or replaces it after a restart.
    void add(const core::endpoint& endpoint, const limits::limiter& limiter,
             const limits::daemon_share& share, core::instant now);

    /// Removes an endpoint; ignores unknown names.
    void remove(const core::endpoint_id& name);

    /// Applies a load report; ignores reports of unknown endpoints.
    void report(const load_report& report, const limits::limiter& limiter,
                const limits::daemon_share& share);

    /// Chooses an endpoint where the request has lost no attempt and counts the request as in
    /// flight there.
    std::optional<core::endpoint_id> acquire(const request_features& request, const router& router,
                                             std::uint64_t seed, core::instant now);

    /// Applies the end of a request at `name`.
    void release(const core::endpoint_id& name, const outcome& outcome, bool urgent,
                 core::instant now);

    /// The view of `name`, if it is in the pool.
    [[nodiscard]] std::optional<endpoint_view> view(const core::endpoint_id& name) const;

    /// The pool's capacity at `now`.
    [[nodiscard]] pool_summary summary(core::instant now);

private:
    [[nodiscard]] std::optional<core::endpoint_id> choose(const request_features& request,
                                                          const router& router, std::uint64_t seed,
                                                          core::instant now) const;
    [[nodiscard]] std::vector<std::uint32_t>
    indexes_of(const std::vector<core::endpoint_id>& names) const;
    void close(std::uint32_t index);
    void replace(std::uint32_t index, endpoint_view next);
    void count(const endpoint_view& view, double sign);
    void update_open(std::uint32_t index);
    void unblock_due(core::instant now);

    std::vector<endpoint_view> views_;
    std::unordered_map<core::endpoint_id, std::uint32_t> index_;
    index_set open_;
    index_set urgent_open_;
    std::deque<std::pair<core::instant, core::endpoint_id>> blocked_;
    std::int64_t slots_ = 0;
    double work_per_second_ = 0;
    double squared_rates_ = 0;
    std::uint64_t turn_ = 0;
};

} // namespace ej::routing
