#include "asio.h"

#include "application_call.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace ej::runtime {

asio::awaitable<absl::StatusOr<http::response>>
call_application(std::shared_ptr<http::client> calls, core::address where, short_call call,
                 bool reuse_connection)
{
    const auto left = call.deadline - std::chrono::steady_clock::now();
    if (left <= core::duration::zero()) {
        co_return absl::UnavailableError("deadline passed before sending");
    }
    const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    http::request message;
    message.method = "POST";
    message.target = std::move(call.wanted.path);
    message.headers = {{"Content-Type", "application/json"},
                       {"Idempotency-Key", call.key.text()},
                       {"Deadline-Ms", std::to_string(left_ms.count())}};
    message.body = std::move(call.wanted.body);
    http::call_options options;
    options.deadline = left;
    options.connect_timeout = std::min(options.connect_timeout, left);
    options.reuse_connection = reuse_connection;
    co_return co_await calls->fetch(std::move(where), std::move(message), options);
}

} // namespace ej::runtime
