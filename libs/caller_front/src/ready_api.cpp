#include "ready_api.h"

#include "local_reply.h"

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace ej::front {

namespace {

constexpr unsigned status_ok = 200;
constexpr std::string_view metrics_path = "/metrics";

/// Limits of health checks, which have no body, and of the readers of metrics.
http::server_options limits()
{
    constexpr std::size_t max_body_bytes = 4'096;
    constexpr std::size_t request_memory = std::size_t{4} << 20;
    constexpr std::size_t max_connections = 64;
    constexpr int receive_buffer_bytes = 16'384;
    constexpr std::chrono::seconds request_timeout{5};
    constexpr std::chrono::seconds idle_timeout{60};
    constexpr std::chrono::seconds write_timeout{5};
    return {max_body_bytes,  request_memory, max_connections, receive_buffer_bytes,
            request_timeout, idle_timeout,   write_timeout};
}

} // namespace

ready_api::ready_api(front_context& context, const platform::call_counts& store_calls)
    : context_(context), store_calls_(store_calls)
{
}

absl::Status ready_api::start(const asio::any_io_executor& executor, const core::address& where)
{
    auto started = http::server::start(
        executor, where, limits(),
        [this](std::shared_ptr<http::exchange> incoming) { return answer(std::move(incoming)); });
    if (!started.ok()) {
        return started.status();
    }
    server_ = *std::move(started);
    return absl::OkStatus();
}

asio::awaitable<void> ready_api::answer(std::shared_ptr<http::exchange> incoming)
{
    const auto& target = incoming->received().target;
    http::response reply{status_not_found, {}, "not found\n"};
    if (target == context_.settings.ready_path) {
        reply = ready();
    }
    else if (target == metrics_path) {
        reply = metrics();
    }
    const auto status = co_await incoming->respond(std::move(reply));
    if (!status.ok()) {
        logging::log(logging::level::debug, "answer on the health check port not delivered",
                     {{"error", std::string(status.message())}});
    }
}

http::response ready_api::ready() const
{
    if (context_.leaving) {
        return {status_unavailable, {}, "leaving\n"};
    }
    if (*context_.rules.load() == nullptr) {
        return {status_unavailable, {}, "no configuration\n"};
    }
    return {status_ok, {}, "ready\n"};
}

http::response ready_api::metrics()
{
    auto& registry = context_.metrics;
    registry.set("calls_open", {}, double(context_.calls_open));
    registry.set("callers_open", {}, double(context_.callers_open));
    registry.set("callers_open_limit", {}, double(context_.settings.max_callers));
    registry.set("callers_bytes", {}, double(context_.callers_bytes));
    registry.set("callers_bytes_limit", {}, double(context_.settings.caller_memory));
    registry.set("endpoints", {}, double(context_.endpoints.load()->size()));
    registry.set("endpoints_leaving_known", {}, double(context_.endpoints.leaving()));
    registry.set("daemons", {}, double(context_.daemons));
    registry.set("log_lines_dropped", {}, double(logging::dropped_lines()));
    std::ranges::for_each(platform::all_call_kinds(), [&](platform::call_kind kind) {
        const std::string name(to_string(kind));
        registry.set("store_calls", {{"kind", name}}, double(store_calls_.begun(kind)));
        registry.set("store_calls_failed", {{"kind", name}}, double(store_calls_.failed(kind)));
    });
    return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, registry.text()};
}

} // namespace ej::front
