#pragma once

#include "admission_result.h"
#include "gate_waiter.h"

#include <admission/class_queues.h>
#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/work_class.h>
#include <fairness/claim.h>
#include <routing/endpoint_pools.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace ej::runtime {

/// Lets requests wait in the queue of their class until an endpoint has room. A wait ends by an
/// event: a release, a change of the endpoints, its deadline. Thread-safe.
class admission_gate {
public:
    /// `reach` tells the failure domains in use; `seed` gives another number with each call.
    admission_gate(routing::endpoint_pools& pools, std::function<routing::reach()> reach,
                   std::function<std::uint64_t()> seed);

    /// Puts the accepted classes in force.
    void set_classes(std::vector<core::work_class> classes);

    /// Waits for an endpoint, or is refused.
    boost::asio::awaitable<admission_result> enter(core::work_class work_class,
                                                   fairness::claim asked);

    /// As `enter` for a request that lost its endpoint: it is not refused for what waits before it
    /// and goes first in its workspace.
    boost::asio::awaitable<admission_result> enter_again(core::work_class work_class,
                                                         fairness::claim asked);

    /// Ends the wait of a request whose caller has gone.
    void cancel(const core::class_id& name, const core::request_id& request);

    /// Ends a request's stay at an endpoint.
    void release_endpoint(const routing::placement& where, const routing::outcome& outcome);

    /// Notes a whole answer whose output began at `first_output`.
    void record_finished(const core::class_id& name, const fairness::claim& done,
                         core::instant first_output);

    /// Lets those that wait go on after the list of endpoints was read. Before the first call
    /// requests wait, as it is not known that there is no endpoint.
    void endpoints_listed();

    /// Whether each class meets its target.
    [[nodiscard]] std::vector<admission::target_report> reports();

private:
    using waiter = std::shared_ptr<gate_waiter>;

    boost::asio::awaitable<admission_result> submit(core::work_class work_class,
                                                    fairness::claim asked);
    boost::asio::awaitable<admission_result> put_back(core::work_class work_class,
                                                      fairness::claim asked);
    waiter add_waiter(const core::work_class& work_class, const fairness::claim& asked,
                      boost::asio::any_io_executor strand);
    boost::asio::awaitable<admission_result> wait(core::work_class work_class,
                                                  fairness::claim asked, waiter waiting);
    waiter take_waiter(const core::request_id& request);
    void refuse(const admission::refused_claim& refused);
    void place_waiting(const core::service_id& service);
    [[nodiscard]] admission::capacity capacity_of(const routing::pool_outlook& outlook) const;
    bool place_next(const core::service_id& service);
    bool place(const core::service_id& service, const admission::grant& next);

    routing::endpoint_pools& pools_;
    std::function<routing::reach()> reach_;
    std::function<std::uint64_t()> seed_;
    admission::class_queues queues_;
    concurrency::snapshot<std::set<core::service_id>> services_;
    std::atomic<bool> listed_ = false;
    concurrency::sharded<core::request_id, waiter> waiters_;
};

} // namespace ej::runtime
