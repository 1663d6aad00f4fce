#include "engine.h"

#include "pause.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <vector>

namespace ej::stand_ins {

namespace {

using clock = std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

constexpr std::uint64_t tokens_per_line = 64;
constexpr seconds min_batch_interval{0.002}; // At higher rates one interval yields several tokens.
constexpr seconds retention_after_end{60};

std::string start_line(const generation& running, std::uint64_t offset)
{
    const nlohmann::json start{{"request", running.parameters().request},
                               {"attempt", running.parameters().attempt},
                               {"offset", offset},
                               {"digest", running.digest_at(offset).value()}};
    return nlohmann::json{{"start", start}}.dump() + '\n';
}

std::string token_line(const generation& running, std::uint64_t from, std::uint64_t to)
{
    std::vector<std::string> tokens;
    for (std::uint64_t offset = from; offset < to; ++offset) {
        tokens.push_back(running.token(offset));
    }
    return nlohmann::json{{"offset", from}, {"tokens", tokens}}.dump() + '\n';
}

std::string end_line(const generation_progress& progress)
{
    const nlohmann::json end{{"reason", progress.end_reason}, {"total", progress.offset}};
    return nlohmann::json{{"end", end}}.dump() + '\n';
}

} // namespace

boost::asio::awaitable<void> engine::stream(exchange& call, std::shared_ptr<generation> running,
                                            std::uint64_t offset)
{
    co_await call.begin_stream();
    const std::string start = start_line(*running, offset);
    co_await call.send(start);
    co_await stream_lines(call, *running, offset);
    co_await call.end_stream();
}

boost::asio::awaitable<void> engine::stream_lines(exchange& call, generation& running,
                                                  std::uint64_t offset)
{
    for (;;) {
        const auto seen = running.changed().version();
        const auto progress = running.progress();
        if (offset < progress.offset) {
            const auto to = std::min(progress.offset, offset + tokens_per_line);
            const std::string line = token_line(running, offset, to);
            co_await call.send(line);
            control_->count_sent(to - offset);
            offset = to;
            continue;
        }
        if (progress.finished()) {
            const std::string end = end_line(progress);
            co_await call.send(end);
            co_return;
        }
        co_await running.changed().wait(seen);
    }
}

// Generation continues without a connected reader, so that another daemon can attach.
boost::asio::awaitable<void> engine::run(std::shared_ptr<generation> running)
{
    co_await slots_.acquire(running->parameters().priority);
    co_await control_->wait_while_frozen();
    control_->exit_if_crash_prompt(running->parameters().prompt);
    if (!running->progress().finished()) {
        co_await produce(*running);
    }
    slots_.release();
    co_await pause(retention_after_end);
    generations_.remove_if_current(running);
}

boost::asio::awaitable<void> engine::produce(generation& running)
{
    const bool cached = cache_.touch(running.parameters().prompt);
    const seconds prefill(cached ? 0 : settings_.prefill_ms / 1'000);
    co_await pause(prefill * control_->current()->slow);
    while (!running.progress().finished()) {
        const seconds interval(control_->current()->slow / settings_.tokens_per_second);
        const double batch = std::max(1.0, std::ceil(min_batch_interval / interval));
        co_await pause(interval * batch);
        co_await control_->wait_while_frozen();
        running.produce(static_cast<std::uint64_t>(batch), tokens_generated_);
    }
}

} // namespace ej::stand_ins
