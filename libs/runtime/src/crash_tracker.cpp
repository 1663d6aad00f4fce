#include "asio.h"

#include "crash_tracker.h"

#include <logging/log.h>

#include <absl/status/status.h>

#include <chrono>
#include <string>
#include <utility>

namespace ej::runtime {

namespace {

// Allows several round trips between failure domains.
constexpr std::chrono::milliseconds connect_bound{150};

core::instant now()
{
    return std::chrono::steady_clock::now();
}

/// False only if no connection can be opened: an engine that is merely slow has not died.
asio::awaitable<bool> takes_connections(std::shared_ptr<http::client> calls, core::address engine)
{
    http::request question;
    question.target = "/load";
    http::call_options options;
    options.deadline = options.connect_timeout = connect_bound;
    options.reuse_connection = false;
    const auto answer = co_await calls->fetch(std::move(engine), std::move(question), options);
    co_return answer.ok() || !absl::IsUnavailable(answer.status());
}

} // namespace

crash_tracker::crash_tracker(std::shared_ptr<daemon_context> shared,
                             suspects::request_digest request)
    : shared_(std::move(shared)), request_(request)
{
}

crash_tracker::~crash_tracker()
{
    end_attempt();
    end_isolated();
}

bool crash_tracker::may_run()
{
    const auto verdict = shared_->suspects.evaluate(request_, now());
    if (verdict == suspects::verdict::run || (verdict == suspects::verdict::isolate && isolated_)) {
        return true;
    }
    isolated_ = verdict == suspects::verdict::isolate && shared_->suspects.begin_isolated(request_);
    return isolated_;
}

void crash_tracker::begin(const core::endpoint& engine, bool had_output)
{
    end_attempt();
    engine_ = engine;
    shared_->suspects.begin(engine.name, request_, had_output);
}

void crash_tracker::record_output()
{
    if (engine_) {
        shared_->suspects.record_output(engine_->name, request_);
    }
}

void crash_tracker::end_attempt()
{
    if (const auto engine = std::exchange(engine_, std::nullopt)) {
        shared_->suspects.end(engine->name, request_);
    }
}

asio::awaitable<void> crash_tracker::check_engine_after_loss()
{
    if (!engine_) {
        co_return;
    }
    const auto engine = *engine_;
    const bool alive = co_await takes_connections(shared_->calls, engine.where);
    if (alive) {
        end_attempt();
        co_return;
    }
    auto seen = shared_->suspects.record_death(engine, request_, now());
    end_attempt();
    if (seen.empty()) {
        co_return;
    }
    shared_->metrics.count("engine_deaths_total", {});
    logging::log(logging::level::warn, "engine died while running requests",
                 {{"engine", engine.name.text()},
                  {"incarnation", engine.incarnation.text()},
                  {"requests", std::to_string(seen.running.size() + seen.flowing.size())}});
    if (shared_->deaths != nullptr) {
        co_await shared_->deaths->announce(std::move(seen));
    }
}

void crash_tracker::clear_suspicion()
{
    end_attempt();
    end_isolated();
    shared_->suspects.clear(request_);
}

void crash_tracker::end_isolated()
{
    if (std::exchange(isolated_, false)) {
        shared_->suspects.end_isolated(request_);
    }
}

} // namespace ej::runtime
