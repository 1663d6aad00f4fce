#include "asio.h"

#include "generation_session.h"

#include "generation_wait.h"

#include <logging/log.h>
#include <wire/sse.h>

#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

using generation::cause;
using generation::effect;

constexpr std::chrono::milliseconds retry_after{1'000};

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

asio::awaitable<generation_session::optional_event> generation_session::finish(effect what)
{
    release_engine(true);
    crash_tracker_.clear_suspicion();
    shared_->gate.record_finished(start_.work_class.name,
                                  queued_request_of(start_, state_, wait_id_, timing_.began()),
                                  timing_.first_token().value_or(now()));
    shared_->metrics.count("generations_total", {{"outcome", "whole"}});
    co_await caller_->write(wire::end_event(what.offset));
    co_return std::nullopt;
}

asio::awaitable<generation_session::optional_event> generation_session::fail(effect what)
{
    co_await crash_tracker_.check_engine_after_loss();
    const bool unplaced = what.cause == cause::no_endpoint;
    // "refused" means that the request did not run.
    const bool refused = unplaced && !may_have_run_;
    const auto reason = unplaced && refused_ ? core::to_string(refused_->reason)
                                             : generation::to_string(what.cause);
    co_return co_await fail_with(refused ? "refused" : "failed", std::string(reason));
}

asio::awaitable<generation_session::optional_event>
generation_session::fail_with(std::string kind, std::string reason)
{
    release_engine(false);
    shared_->metrics.count("refusals_total", {{"reason", reason}});
    shared_->metrics.count("generations_total", {{"outcome", kind}});
    logging::log(logging::level::warn, "generation ended without a complete answer",
                 {{"request", start_.request.text()}, {"outcome", kind}, {"reason", reason}});
    const auto retry_delay =
        refused_ ? std::chrono::ceil<std::chrono::milliseconds>(refused_->retry_after)
                 : retry_after;
    co_await caller_->write(wire::error_event(kind, reason, retry_delay));
    co_return std::nullopt;
}

void generation_session::release_engine(bool finished)
{
    const auto how = finished       ? routing::outcome_kind::finished
                     : caller_gone_ ? routing::outcome_kind::cancelled
                                    : routing::outcome_kind::failed;
    slot_.end(how, static_cast<double>(delivered_here_), now());
}

} // namespace ej::runtime
