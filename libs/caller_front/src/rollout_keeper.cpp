#include "rollout_keeper.h"

#include "clock.h"

#include <logging/log.h>
#include <rollout/deciders.h>
#include <rollout/next_record.h>
#include <rollout/trial_plan.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;

// While a roll-out is open.
constexpr milliseconds review_interval{250};
constexpr std::uint64_t reviews_per_report = 2;
// A decider waits so long for each one that comes before it.
constexpr milliseconds takeover_delay{700};

} // namespace

rollout_keeper::rollout_keeper(front_context& context, platform::store& store,
                               const store_layout& layout, asio::io_context& loop,
                               send_function send)
    : context_(context), store_(store), layout_(layout), loop_(loop), send_(std::move(send)),
      timer_(loop), start_(static_cast<std::uint64_t>(
                        std::chrono::system_clock::now().time_since_epoch().count()))
{
}

void rollout_keeper::wake()
{
    timer_.cancel();
}

asio::awaitable<void> rollout_keeper::run()
{
    for (;;) {
        const auto open = context_.rollouts.open();
        const auto at = now();
        std::erase_if(watched_, [&](const auto& one) {
            return !one.second.writing && !std::ranges::binary_search(open, one.first);
        });
        std::ranges::for_each(open, [&](const core::service_id& one) { review(one, at); });
        ++reviews_;
        timer_.expires_at(open.empty() ? core::instant::max() : at + review_interval);
        error_code cancelled; // By `wake`.
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

void rollout_keeper::review(const core::service_id& service, core::instant at)
{
    const auto state = context_.rollouts.of(service);
    if (state == nullptr || !state->is_open()) {
        return;
    }
    set_trial_share(service, *state, at);
    if (reviews_ % reviews_per_report == 0) {
        report(service, *state, at);
    }
    const auto deciders = rollout::deciders_for(service, *context_.parts.members.load());
    const auto self = std::ranges::find(deciders, context_.settings.vm);
    if (self != deciders.end()) {
        decide(service, *state, static_cast<std::size_t>(self - deciders.begin()), at);
    }
}

void rollout_keeper::set_trial_share(const core::service_id& service,
                                     const rollout::rollout_state& state, core::instant at)
{
    if (state.is_answered() && state.record->phase == rollout::rollout_phase::trial) {
        const auto plan = rollout::plan_for(state.order->time, context_.settings.rollouts,
                                            requests_per_second(service, state, at));
        context_.rollouts.set_trial_share(service, plan.first);
    }
}

void rollout_keeper::report(const core::service_id& service, const rollout::rollout_state& state,
                            core::instant at)
{
    const rollout::rollout_report made{context_.settings.vm,
                                       start_,
                                       ++reports_,
                                       service,
                                       state.order->revision,
                                       state.to_target(at),
                                       runs_elsewhere(*state.order),
                                       context_.rollouts.answers_of(service, at)};
    count_answers(made);
    const auto addresses = context_.peers_by_vm.load();
    for (const core::vm_id& one : rollout::deciders_for(service, *context_.parts.members.load())) {
        const auto found = addresses->find(one);
        if (one == context_.settings.vm) {
            apply(made);
        }
        else if (found != addresses->end()) {
            send_(made, found->second);
        }
    }
}

void rollout_keeper::apply(const rollout::rollout_report& report)
{
    const auto state = context_.rollouts.of(report.service);
    if (state == nullptr || !state->is_open()) {
        return;
    }
    watch(report.service, *state).evidence.apply(report, state->order->revision, now());
}

rollout_keeper::watched& rollout_keeper::watch(const core::service_id& service,
                                               const rollout::rollout_state& state)
{
    watched& by = watched_[service];
    if (std::exchange(by.order, state.order->revision) != state.order->revision) {
        by.judge = {};
        by.due_since.reset();
    }
    return by;
}

void rollout_keeper::apply(const rollout::rollout_verdict& verdict)
{
    reject(verdict, "told by another daemon");
}

void rollout_keeper::reject(const rollout::rollout_verdict& verdict, const std::string& reason)
{
    if (context_.rollouts.reject_target(verdict.service, verdict.order)) {
        context_.metrics.count("rollouts_rejected_total", {{"service", verdict.service.text()}});
        logging::log(logging::level::warn, "target of roll-out is bad",
                     {{"service", verdict.service.text()},
                      {"order", std::to_string(verdict.order.value())},
                      {"reason", reason}});
    }
}

void rollout_keeper::broadcast(const rollout::rollout_verdict& verdict)
{
    const auto peers = context_.peers.load();
    std::ranges::for_each(*peers, [&](const core::address& one) { send_(verdict, one); });
}

void rollout_keeper::decide(const core::service_id& service, const rollout::rollout_state& state,
                            std::size_t rank, core::instant at)
{
    watched& by = watch(service, state);
    by.judge.apply(by.evidence.total(at));
    const rollout::rollout_verdict verdict{service, state.order->revision};
    if (by.judge.rejects()) {
        reject(verdict, by.judge.fault());
        // Repeated until the record says so, since datagrams may be lost.
        if (reviews_ % reviews_per_report == 0) {
            broadcast(verdict);
        }
    }
    const bool rejected = by.judge.rejects() || state.is_rejected();
    const auto since = at - state.began;
    const auto known = state.is_answered() ? state.record : std::nullopt;
    const auto next =
        rejected ? rollout::final_record(*state.order, rollout::rollout_phase::rolled_back, since,
                                         by.judge.rejects() ? by.judge.fault()
                                                            : "found bad by another daemon")
                 : rollout::next_record(*state.order, known, view_of(service, state, by, at),
                                        context_.settings.rollouts);
    const bool same = std::exchange(by.due_after, state.record_revision) == state.record_revision;
    if (!next || !same) {
        by.due_since.reset();
    }
    if (!next || by.writing) {
        return;
    }
    by.due_since = by.due_since.value_or(at);
    if (at - *by.due_since >= takeover_delay * static_cast<int>(rank)) {
        by.writing = true;
        asio::co_spawn(
            loop_,
            [this, service, record = *next, known = state.record_revision] {
                return write(service, record, known);
            },
            asio::detached);
    }
}

asio::awaitable<void> rollout_keeper::write(core::service_id service,
                                            rollout::rollout_record record, core::revision known)
{
    std::vector<platform::store_write> writes;
    writes.push_back({layout_.rollout_key(service), to_text(record), {}, known});
    writes.push_back({layout_.rollout_status_key(service),
                      layout_.rollout_status_text(service, record.target, record.phase),
                      {},
                      {}});
    const auto written = co_await store_.commit(std::move(writes));
    const auto found = watched_.find(service);
    if (found != watched_.end()) {
        found->second.writing = false;
    }
    if (written.ok()) {
        context_.rollouts.put_record(service, record, *written, now());
        timer_.cancel();
    }
    else {
        // Another decider may have been first; otherwise it is written again.
        context_.metrics.count("rollout_writes_failed_total", {});
    }
    logging::log(logging::level::info, written.ok() ? "roll-out step" : "roll-out step not written",
                 {{"service", service.text()},
                  {"target", record.target.text()},
                  {"phase", std::string(to_string(record.phase))},
                  {"share", std::to_string(record.to_target)},
                  {"since_order_ms", std::to_string(record.written.count())},
                  {"reason", record.reason},
                  {"error", std::string(written.status().message())}});
}

} // namespace ej::front
