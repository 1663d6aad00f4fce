#include "asio.h"

#include "generation_session.h"

#include "generation_wait.h"

#include <generation/policies.h>
#include <logging/log.h>
#include <suspects/digest_of.h>
#include <wire/sse.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

using generation::cause;
using generation::effect;
using generation::effect_kind;
using generation::event;
using generation::event_kind;

// Another attempt of the suspect request may be running; its outcome should be known after this.
constexpr std::chrono::seconds suspect_retry_after{1};

core::instant now()
{
    return std::chrono::steady_clock::now();
}

/// Equal for repeated submissions of the same generation.
suspects::request_digest digest_of(const generation_start& start)
{
    const auto text =
        start.work_class.name.text() + '\n' + start.prompt.value_or(start.request.text());
    return suspects::digest_of(start.workspace, text);
}

} // namespace

generation_session::generation_session(std::shared_ptr<daemon_context> shared,
                                       std::shared_ptr<http::exchange> caller,
                                       generation_start start)
    : shared_(std::move(shared)), caller_(std::move(caller)), start_(std::move(start)),
      wait_id_(shared_->ids.next()), policy_(generation::policy_for(start_.work_class.target)),
      slot_(shared_->gate), crash_tracker_(shared_, digest_of(start_)),
      rules_(policy_, generation::limits{}), connection_(shared_->calls), state_(start_.state),
      timing_(now()),
      may_have_run_(state_.next > core::token_offset() || state_.attempt > core::attempt_number(1))
{
}

generation_session::effect_handler generation_session::handler_of(effect_kind kind)
{
    static constexpr std::array<effect_handler, generation::effect_kind_count> handlers{
        &generation_session::place,   &generation_session::open,   &generation_session::attach,
        &generation_session::check,   &generation_session::close,  &generation_session::cancel,
        &generation_session::deliver, &generation_session::finish, &generation_session::fail};
    return handlers.at(static_cast<std::size_t>(kind));
}

asio::awaitable<void> generation_session::run()
{
    const auto self = shared_from_this();
    const std::weak_ptr<generation_session> weak = self;
    caller_->on_disconnect([weak] {
        if (const auto session = weak.lock()) {
            session->on_caller_gone();
        }
    });
    co_await caller_->write(wire::start_event(start_.request));
    auto begun = rules_.begin(state_);
    std::ranges::move(begun.effects, std::back_inserter(pending_));
    co_await carry_out_pending();
    while (state_.phase != generation::phase::ended) {
        auto what = co_await connection_.next(state_.attempt, policy_->silence_timeout());
        apply(what);
        co_await carry_out_pending();
    }
    co_await caller_->finish();
}

asio::awaitable<void> generation_session::carry_out_pending()
{
    while (!pending_.empty()) {
        auto what = std::move(pending_.front());
        pending_.pop_front();
        count(what);
        const auto handler = handler_of(what.kind);
        auto followed_by = co_await (this->*handler)(std::move(what));
        if (caller_gone_ && state_.phase != generation::phase::ended) {
            apply(make_event(event_kind::caller_gone));
        }
        else if (followed_by) {
            apply(*followed_by);
        }
    }
}

void generation_session::apply(const event& what)
{
    if (caller_gone_ && what.kind != event_kind::caller_gone) {
        apply(make_event(event_kind::caller_gone));
        return;
    }
    auto decided = rules_.next(state_, what);
    state_ = decided.state;
    if (decided.dropped != cause::none) {
        shared_->metrics.count("dropped_events_total",
                               {{"reason", std::string(generation::to_string(decided.dropped))}});
    }
    std::ranges::move(decided.effects, std::back_inserter(pending_));
}

void generation_session::count(const effect& what)
{
    const bool retries = what.kind == effect_kind::place || what.kind == effect_kind::attach ||
                         what.kind == effect_kind::check;
    if (!retries || what.cause == cause::none) {
        return;
    }
    timing_.interrupted();
    const auto reason = std::string(generation::to_string(what.cause));
    shared_->metrics.count("retries_total", {{"reason", reason}});
    logging::log(logging::level::info, "generation interrupted, resuming",
                 {{"request", start_.request.text()},
                  {"reason", reason},
                  {"attempt", std::to_string(what.attempt.value())},
                  {"offset", std::to_string(what.offset.value())}});
}

void generation_session::on_caller_gone()
{
    caller_gone_ = true;
    connection_.close();
    shared_->gate.cancel(start_.work_class.name, wait_id_);
}

event generation_session::make_event(event_kind kind) const
{
    return {kind, state_.attempt};
}

asio::awaitable<generation_session::optional_event> generation_session::place(effect)
{
    release_engine(false);
    if (!start_.prompt) {
        co_await fail_with("failed", "prefix_needed");
        state_.phase = generation::phase::ended;
        co_return std::nullopt;
    }
    co_await crash_tracker_.check_engine_after_loss();
    if (!crash_tracker_.may_run()) {
        refused_ = admission::refusal{core::refusal_reason::suspect, suspect_retry_after};
        co_return make_event(event_kind::no_engine);
    }
    const bool begun =
        state_.next > core::token_offset() || state_.attempt > core::attempt_number(1);
    auto queued = queued_request_of(start_, state_, wait_id_, timing_.began());
    auto entry = co_await wait_for_engine(*shared_, start_.work_class, std::move(queued), begun);
    if (entry.placed) {
        slot_.begin(*entry.placed, now());
        engine_ = shared_->endpoints.find(entry.placed->endpoint);
        auto placed = make_event(event_kind::placed);
        placed.endpoint = entry.placed->endpoint;
        co_return placed;
    }
    refused_ = entry.refused;
    co_return make_event(event_kind::no_engine);
}

asio::awaitable<generation_session::optional_event> generation_session::open(effect)
{
    if (!engine_) {
        co_return make_event(event_kind::rejected);
    }
    seal_location();
    crash_tracker_.begin(*engine_, state_.next > core::token_offset());
    auto order = order_of(start_, state_);
    auto opened = co_await connection_.open(*engine_, std::move(order), policy_->silence_timeout());
    auto failure = event_of(opened);
    may_have_run_ = may_have_run_ || !failure || failure->kind != event_kind::rejected;
    if (failure && failure->kind == event_kind::rejected) {
        crash_tracker_.end_attempt();
    }
    co_return failure;
}

asio::awaitable<generation_session::optional_event> generation_session::attach(effect what)
{
    engine_ = engine_of(what);
    if (!engine_) {
        co_return make_event(event_kind::closed);
    }
    seal_location();
    auto opened = co_await connection_.attach(*engine_, position(what), policy_->check_timeout());
    co_return event_of(opened);
}

void generation_session::seal_location()
{
    const cursor::attempt_location place{start_.workspace, start_.request, start_.work_class.name,
                                         state_.attempt,   engine_->name,  engine_->where};
    sealed_place_ = shared_->cursors.seal_location(place);
}

generation_session::optional_event generation_session::event_of(const absl::Status& opened) const
{
    const auto failed = failure_of(opened);
    return failed ? optional_event(make_event(*failed)) : std::nullopt;
}

asio::awaitable<generation_session::optional_event> generation_session::check(effect what)
{
    const auto engine = engine_of(what);
    if (!engine) {
        co_return make_event(event_kind::unreachable);
    }
    auto answer = co_await connection_.check(*engine, position(what), policy_->check_timeout());
    co_return answer;
}

asio::awaitable<generation_session::optional_event> generation_session::close(effect)
{
    connection_.close();
    co_return std::nullopt;
}

// Sent in the background: the engine may be down, and the next attempt must not wait for its
// response.
asio::awaitable<generation_session::optional_event> generation_session::cancel(effect what)
{
    const auto strand = co_await asio::this_coro::executor;
    const auto engine = engine_of(what);
    if (!engine) {
        co_return std::nullopt;
    }
    const auto cancelling = [calls = shared_->calls, engine = *engine,
                             where = position(what)]() -> asio::awaitable<void> {
        engine_connection connection(calls);
        co_await connection.cancel(engine, where);
    };
    asio::co_spawn(strand, cancelling, asio::detached);
    co_return std::nullopt;
}

asio::awaitable<generation_session::optional_event> generation_session::deliver(effect what)
{
    crash_tracker_.record_output();
    timing_.delivered(now(), shared_->metrics);
    delivered_here_ += what.tokens.size();
    const auto id = cursor::cursor_codec::event_id(sealed_place_, state_.next, state_.text);
    auto text = wire::tokens_event(id, what.offset, what.tokens);
    if (start_.prompt) {
        std::ranges::move(what.tokens, std::back_inserter(start_.delivered));
    }
    auto written = co_await caller_->write(std::move(text));
    if (!written.ok()) {
        on_caller_gone();
    }
    co_return std::nullopt;
}

wire::engine_position generation_session::position(const effect& what) const
{
    return {start_.request, what.attempt, what.offset};
}

std::optional<core::endpoint> generation_session::engine_of(const effect& what) const
{
    if (engine_ && engine_->name == what.endpoint) {
        return engine_;
    }
    return shared_->endpoints.find(what.endpoint);
}

} // namespace ej::runtime
