#pragma once

#include "admission_result.h"
#include "gate_waiter.h"

#include <admission/class_queues.h>
#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/work_class.h>
#include <fairness/queued_request.h>
#include <routing/endpoint_pools.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace ej::runtime {

/// Queues requests by class until an endpoint has room. A wait ends on an event: the release of an
/// endpoint, a change of the endpoint list, or the request's deadline. Thread-safe.
class admission_gate {
public:
    /// `reachable_domains` returns the failure domains in use; `seed` returns a different number on
    /// each call.
    admission_gate(routing::endpoint_pools& pools,
                   std::function<routing::reachable_domains()> reachable_domains,
                   std::function<std::uint64_t()> seed);

    /// Replaces the classes; requests of removed classes are refused.
    void set_classes(std::vector<core::work_class> classes);

    /// Waits for an endpoint; the result is a placement or a refusal.
    boost::asio::awaitable<admission_result> enter(core::work_class work_class,
                                                   fairness::queued_request queued);

    /// Like `enter`, for a request that lost its endpoint: it is not refused because of the queue
    /// ahead of it, and it is first within its workspace. It goes to one of the endpoints
    /// `lost_at`, where its attempts failed, only if no other has room.
    boost::asio::awaitable<admission_result> enter_again(core::work_class work_class,
                                                         fairness::queued_request queued,
                                                         std::vector<core::endpoint_id> lost_at);

    /// Ends the wait of a request whose caller has disconnected.
    void cancel(const core::class_id& name, const core::request_id& request);

    /// Releases the endpoint of a request and records the outcome there.
    void release_endpoint(const routing::endpoint_assignment& where,
                          const routing::outcome& outcome);

    /// Records a complete response whose output began at `first_output`.
    void record_finished(const core::class_id& name, const fairness::queued_request& done,
                         core::instant first_output);

    /// Places waiting requests after the list of endpoints was read. Until the first call, requests
    /// wait even if no endpoint is known, as the list may not have been read yet.
    void endpoints_listed();

    /// Whether each class meets its target.
    [[nodiscard]] std::vector<admission::target_report> reports();

private:
    using waiter = std::shared_ptr<gate_waiter>;

    boost::asio::awaitable<admission_result> submit(core::work_class work_class,
                                                    fairness::queued_request queued);
    boost::asio::awaitable<admission_result> put_back(core::work_class work_class,
                                                      fairness::queued_request queued,
                                                      std::vector<core::endpoint_id> lost_at);
    waiter add_waiter(const core::work_class& work_class, const fairness::queued_request& queued,
                      std::vector<core::endpoint_id> lost_at, boost::asio::any_io_executor strand);
    boost::asio::awaitable<admission_result> wait(core::work_class work_class,
                                                  fairness::queued_request queued, waiter waiting);
    waiter take_waiter(const core::request_id& request);
    void refuse(const admission::refused_claim& refused);
    void place_waiting(const core::service_id& service);
    [[nodiscard]] admission::capacity capacity_of(const routing::pool_summary& summary) const;
    bool place_next(const core::service_id& service);
    bool place(const core::service_id& service, const admission::grant& next);

    routing::endpoint_pools& pools_;
    std::function<routing::reachable_domains()> reach_;
    std::function<std::uint64_t()> seed_;
    admission::class_queues queues_;
    concurrency::snapshot<std::set<core::service_id>> services_;
    std::atomic<bool> listed_ = false;
    concurrency::sharded<core::request_id, waiter> waiters_;
};

} // namespace ej::runtime
