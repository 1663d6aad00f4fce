#include <utility>

#include "asio.h"

#include "admission_gate.h"

#include <admission/predicted_finish.h>
#include <admission/urgency.h>
#include <fairness/max_min_share.h>

#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace ej::runtime {

namespace {

constexpr std::chrono::seconds retry_after_wait{1};

core::instant now()
{
    return std::chrono::steady_clock::now();
}

admission::room room_of(const routing::pool_summary& summary)
{
    if (summary.open > 0) {
        return admission::room::any;
    }
    return summary.urgent_open > 0 ? admission::room::urgent_only : admission::room::none;
}

// Without a strand, on a plain thread pool, the result could be set after the waiter has checked
// for it and before its timer starts, and the wake-up would be lost.
asio::awaitable<admission_result> on_own_strand(asio::awaitable<admission_result> entering)
{
    const auto executor = co_await asio::this_coro::executor;
    co_return co_await asio::co_spawn(asio::make_strand(executor), std::move(entering),
                                      asio::use_awaitable);
}

admission_result refused(core::refusal_reason reason)
{
    return {std::nullopt, {reason, retry_after_wait}};
}

} // namespace

admission_gate::admission_gate(routing::endpoint_pools& pools,
                               std::function<routing::reachable_domains()> reachable_domains,
                               std::function<std::uint64_t()> seed)
    : pools_(pools), reach_(std::move(reachable_domains)), seed_(std::move(seed)),
      queues_(std::make_shared<admission::predicted_finish>(),
              std::make_shared<fairness::max_min_share>()),
      services_(std::set<core::service_id>{})
{
}

void admission_gate::set_classes(std::vector<core::work_class> classes)
{
    std::set<core::service_id> services;
    std::ranges::transform(classes, std::inserter(services, services.end()),
                           &core::work_class::service);
    services_.store(std::move(services));
    const auto gone = queues_.set_classes(std::move(classes));
    std::ranges::for_each(gone, [&](const auto& one) { refuse(one); });
}

asio::awaitable<admission_result> admission_gate::enter(core::work_class work_class,
                                                        fairness::queued_request queued)
{
    return on_own_strand(submit(std::move(work_class), std::move(queued)));
}

asio::awaitable<admission_result>
admission_gate::enter_again(core::work_class work_class, fairness::queued_request queued,
                            std::vector<core::endpoint_id> lost_at)
{
    return on_own_strand(put_back(std::move(work_class), std::move(queued), std::move(lost_at)));
}

asio::awaitable<admission_result> admission_gate::submit(core::work_class work_class,
                                                         fairness::queued_request queued)
{
    const auto strand = co_await asio::this_coro::executor;
    // The waiter is added before the submission, as another thread may grant the request
    // immediately.
    auto waiting = add_waiter(work_class, queued, {}, strand);
    const auto result =
        queues_.submit(work_class.name, queued,
                       capacity_of(pools_.summary(work_class.service, reach_(), now())), now());
    if (result.evicted) {
        refuse(*result.evicted);
    }
    if (result.refused) {
        take_waiter(queued.request);
        co_return admission_result{std::nullopt, *result.refused};
    }
    co_return co_await wait(std::move(work_class), std::move(queued), std::move(waiting));
}

asio::awaitable<admission_result> admission_gate::put_back(core::work_class work_class,
                                                           fairness::queued_request queued,
                                                           std::vector<core::endpoint_id> lost_at)
{
    const auto strand = co_await asio::this_coro::executor;
    auto waiting = add_waiter(work_class, queued, std::move(lost_at), strand);
    queues_.put_back(work_class.name, queued);
    co_return co_await wait(std::move(work_class), std::move(queued), std::move(waiting));
}

asio::awaitable<admission_result>
admission_gate::wait(core::work_class work_class, fairness::queued_request queued, waiter waiting)
{
    const auto give_up_at = std::min(queued.start_by, queued.finish_by);
    // Each iteration but the last ends when a failing endpoint may be tried again.
    for (bool last = false; !last;) {
        place_waiting(work_class.service);
        const auto unblock = pools_.summary(work_class.service, reach_(), now()).next_unblock;
        last = give_up_at <= unblock;
        const auto entry = co_await waiting->wait(std::min(give_up_at, unblock));
        if (entry) {
            co_return *entry;
        }
    }
    waiting->end();
    queues_.cancel(work_class.name, queued.request);
    take_waiter(queued.request);
    co_return refused(core::refusal_reason::waited_too_long);
}

void admission_gate::cancel(const core::class_id& name, const core::request_id& request)
{
    queues_.cancel(name, request);
    if (const auto waiting = take_waiter(request)) {
        waiting->complete(refused(core::refusal_reason::expired));
    }
}

void admission_gate::release_endpoint(const routing::endpoint_assignment& where,
                                      const routing::outcome& outcome)
{
    pools_.release(where, outcome, now());
    place_waiting(where.pool.service);
}

void admission_gate::record_finished(const core::class_id& name,
                                     const fairness::queued_request& done,
                                     core::instant first_output)
{
    queues_.finished(name, done, first_output, now());
}

void admission_gate::place_waiting(const core::service_id& service)
{
    while (place_next(service)) {
    }
}

void admission_gate::endpoints_listed()
{
    listed_ = true;
    const auto services = services_.load();
    std::ranges::for_each(*services, [&](const auto& service) { place_waiting(service); });
}

admission::capacity admission_gate::capacity_of(const routing::pool_summary& summary) const
{
    const std::uint32_t slots = listed_ ? summary.slots : std::max(summary.slots, 1U);
    return {summary.work_per_second, summary.slot_rate, slots};
}

std::vector<admission::target_report> admission_gate::reports()
{
    return queues_.reports(now());
}

admission_gate::waiter admission_gate::add_waiter(const core::work_class& work_class,
                                                  const fairness::queued_request& queued,
                                                  std::vector<core::endpoint_id> lost_at,
                                                  asio::any_io_executor strand)
{
    const auto unused = [this](const routing::endpoint_assignment& where) {
        release_endpoint(where, {routing::outcome_kind::cancelled, 0, {}});
    };
    auto added = std::make_shared<gate_waiter>(
        std::move(strand), admission::is_urgent(work_class.target), std::move(lost_at), unused);
    waiters_.with(queued.request, [&](auto& waiters) { waiters[queued.request] = added; });
    return added;
}

admission_gate::waiter admission_gate::take_waiter(const core::request_id& request)
{
    return waiters_.with(request, [&](auto& waiters) -> waiter {
        auto found = waiters.extract(request);
        return found.empty() ? nullptr : std::move(found.mapped());
    });
}

void admission_gate::refuse(const admission::refused_claim& refused)
{
    if (const auto waiting = take_waiter(refused.queued_request.request)) {
        waiting->complete({std::nullopt, refused.why});
    }
}

// Returns true if more requests may be placed.
bool admission_gate::place_next(const core::service_id& service)
{
    const auto summary = pools_.summary(service, reach_(), now());
    const auto next = queues_.next(service, room_of(summary), capacity_of(summary), now());
    std::ranges::for_each(next.dropped, [&](const auto& one) { refuse(one); });
    return next.granted ? place(service, next) : !next.dropped.empty();
}

bool admission_gate::place(const core::service_id& service, const admission::grant& next)
{
    const auto waiting = take_waiter(next.granted->request);
    if (!waiting) {
        return true;
    }
    const routing::request_features features{next.granted->work, 0, waiting->urgent(),
                                             next.granted->finish_by, waiting->lost_at()};
    const auto placed = pools_.acquire(service, reach_(), features, seed_(), now());
    if (placed) {
        waiting->complete({placed, {}});
        return true;
    }
    waiters_.with(next.granted->request,
                  [&](auto& waiters) { waiters[next.granted->request] = waiting; });
    queues_.put_back(next.work_class, *next.granted);
    return false;
}

} // namespace ej::runtime
