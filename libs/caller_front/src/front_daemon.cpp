#include <utility>

#include <caller_front/front_daemon.h>

#include "caller_listener.h"
#include "clock.h"
#include "daemon_registration.h"
#include "entry_keeper.h"
#include "front_context.h"
#include "held_part_entries.h"
#include "lane.h"
#include "peer_link.h"
#include "ready_api.h"
#include "rollout_keeper.h"
#include "store_follower.h"
#include "suspect_entries.h"

#include <http/client.h>
#include <logging/log.h>
#include <platform/store.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;

// The load balancer checks once a second and removes a daemon after two failed checks.
constexpr milliseconds balancer_notice_time{2'300};
// Polling interval for open requests during shutdown; also the time allowed for sending the last
// answers.
constexpr milliseconds leave_interval{50};
// Shutdown ends this long before the end of the grace period, when the process would be killed.
constexpr milliseconds grace_margin{400};
// Time for the final answers of calls that outlast the grace period.
constexpr milliseconds answer_margin{150};

platform::client_settings store_settings(const front_settings& settings)
{
    return {settings.store, settings.store_deadline};
}

} // namespace

struct front_daemon::parts {
    parts(const front_settings& settings, site chosen)
        : where(std::move(chosen)), context(settings, where.headers),
          transport(asio::make_strand(loop)),
          store(transport, store_settings(context.settings), where.protocol),
          follower(context, store, *where.layout, loop),
          registration(context, store, *where.layout, loop), part_entries(context, *where.layout),
          part_keeper(context, store, part_entries, loop), request_entries(context, *where.layout),
          request_keeper(context, store, request_entries, loop), ready(context, store.counts()),
          peers(context, loop),
          rollouts(context, store, *where.layout, loop,
                   [this](const peer_message& message, const core::address& to) {
                       peers.send_to(message, to);
                   })
    {
        context.load_changed = [this](const core::endpoint& one) { peers.queue_load_change(one); };
        context.death_seen = [this](const suspects::death_record& one) {
            peers.broadcast_death(one);
        };
        context.leaving_seen = [this](const forwarding::endpoint_run& one) {
            peers.broadcast_leaving(one);
        };
        context.suspect_cleared = [this](const suspects::cleared_request& one) {
            peers.broadcast_cleared(one);
            asio::post(loop, [this] { request_keeper.wake(); });
        };
        context.parts.broadcast = [this](const peer_message& one) { peers.broadcast(one); };
        context.parts.review_later = [this] { peers.review_parts_later(); };
        context.parts.held_changed = [this] { asio::post(loop, [this] { part_keeper.wake(); }); };
        context.suspect_seen = [this](suspects::request_digest request) {
            asio::post(loop, [this, request] {
                request_entries.observe(request);
                request_keeper.wake();
            });
        };
        context.evidence_changed = [this] { request_keeper.resume(); };
        context.send_store_update = [this](const store_update& one) {
            peers.send_store_update(one);
        };
        context.rollouts_changed = [this] { rollouts.wake(); };
        context.apply_rollout_report = [this](const rollout::rollout_report& one) {
            rollouts.apply(one);
        };
        context.apply_rollout_verdict = [this](const rollout::rollout_verdict& one) {
            rollouts.apply(one);
        };
        context.store_returned = [this] { registration.renew_now(); };
        context.apply_store_update = [this](const store_update& one) {
            follower.apply_update(one);
        };
        std::generate_n(std::back_inserter(lanes), context.settings.lanes,
                        [this] { return std::make_unique<lane>(context); });
        listener = std::make_unique<caller_listener>(lanes);
    }

    ~parts()
    {
        // The lanes stop before the listener is destroyed, since the first lane's thread uses it.
        std::ranges::for_each(lanes, [](const auto& one) { one->stop(); });
        loop.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;
    parts(parts&&) = delete;
    parts& operator=(parts&&) = delete;

    site where;
    front_context context;
    asio::io_context loop{1}; // For the store, the peers and health checks.
    http::client transport;
    platform::store store;
    store_follower follower;
    daemon_registration registration;
    held_part_entries part_entries;
    entry_keeper part_keeper;
    suspect_entries request_entries;
    entry_keeper request_keeper;
    ready_api ready;
    peer_link peers;
    rollout_keeper rollouts;
    std::vector<std::unique_ptr<lane>> lanes;
    std::unique_ptr<caller_listener> listener;
    std::thread thread;
};

front_daemon::front_daemon(std::unique_ptr<parts> made) : parts_(std::move(made)) {}

front_daemon::~front_daemon() = default;

absl::StatusOr<std::unique_ptr<front_daemon>> front_daemon::start(const front_settings& settings,
                                                                  site where)
{
    auto made = std::make_unique<parts>(settings, std::move(where));
    const auto& chosen = made->context.settings;
    auto status = made->listener->open(chosen.listen);
    if (status.ok()) {
        status = made->ready.start(asio::make_strand(made->loop), chosen.ready_listen);
    }
    if (status.ok()) {
        status = made->peers.open(chosen.peer_listen);
    }
    if (!status.ok()) {
        return status;
    }
    made->peers.start();
    asio::co_spawn(
        made->loop, [&follower = made->follower] { return follower.run(); }, asio::detached);
    asio::co_spawn(
        made->loop, [&registration = made->registration] { return registration.run(); },
        asio::detached);
    for (entry_keeper* const one : {&made->part_keeper, &made->request_keeper}) {
        asio::co_spawn(made->loop, [one] { return one->run(); }, asio::detached);
    }
    asio::co_spawn(
        made->loop, [&rollouts = made->rollouts] { return rollouts.run(); }, asio::detached);
    made->listener->start();
    std::ranges::for_each(made->lanes, [](const auto& one) { one->run(); });
    made->thread = std::thread([&loop = made->loop] { loop.run(); });
    return std::unique_ptr<front_daemon>(new front_daemon(std::move(made)));
}

void front_daemon::reconfigure(const front_settings& settings)
{
    parts_->context.budget.set(settings.budget);
}

void front_daemon::drain()
{
    auto& context = parts_->context;
    const auto began = now();
    const auto last = began + context.settings.grace - grace_margin;
    const auto earliest = began + balancer_notice_time;
    context.schedule.store(shutdown_schedule{earliest, last - answer_margin, last});
    context.leaving = true;
    std::ranges::for_each(parts_->lanes, [](const auto& one) { one->review_calls(); });
    asio::io_context waiting;
    asio::steady_timer timer(waiting);
    // Unlike a blocking wait of the timer, `run` goes on after a signal.
    const auto pause = [&] {
        timer.expires_after(leave_interval);
        timer.async_wait([](const error_code&) {});
        waiting.restart();
        waiting.run();
    };
    const auto wait_until = [&](core::instant end, const auto& done) {
        while (now() < end && !done()) {
            pause();
        }
    };
    wait_until(earliest, [] { return false; });
    std::ranges::for_each(parts_->lanes, [](const auto& one) { one->close_idle(); });
    wait_until(last - answer_margin, [&] { return context.calls_open == 0; });
    // A call that begins now would outlast the process, so every further request is refused.
    context.schedule.store(shutdown_schedule{core::instant::min(), now(), now()});
    parts_->listener->stop(last - answer_margin);
    std::ranges::for_each(parts_->lanes, [](const auto& one) { one->close_idle(); });
    const auto all_answered = [&] { return context.callers_active == 0; };
    wait_until(last - answer_margin, all_answered);
    std::ranges::for_each(parts_->lanes, [](const auto& one) { one->end_calls(); });
    wait_until(last, all_answered);
    logging::log(logging::level::info, "left",
                 {{"calls_open", std::to_string(context.calls_open)},
                  {"callers_open", std::to_string(context.callers_open)},
                  {"callers_active", std::to_string(context.callers_active)}});
    // Allows time for sending the last answers.
    pause();
}

core::address front_daemon::caller_address() const
{
    return parts_->listener->local();
}

core::address front_daemon::ready_address() const
{
    return parts_->ready.local();
}

} // namespace ej::front
