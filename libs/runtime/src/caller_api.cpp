#include "asio.h"

#include "caller_api.h"

#include "generation_session.h"
#include "generation_starts.h"
#include "in_flight_guard.h"
#include "replies.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace ej::runtime {

using core::refusal_reason;

struct caller_api::route {
    std::string_view method;
    std::string_view path;
    bool prefix; ///< `path` is a prefix of the target.
    action answer;
};

const caller_api::route* caller_api::find_route(const http::request& call)
{
    static constexpr std::array<route, 4> routes{
        {{"POST", "/v1/requests", false, &caller_api::run_short_call},
         {"POST", "/v1/tickets", false, &caller_api::issue_ticket},
         {"POST", "/v1/generations", false, &caller_api::start_generation},
         {"GET", "/v1/generations/", true, &caller_api::resume_generation}}};
    const auto* const found = std::ranges::find_if(routes, [&](const route& one) {
        return one.method == call.method &&
               (one.prefix ? call.target.starts_with(one.path) : call.target == one.path);
    });
    return found == routes.end() ? nullptr : found;
}

asio::awaitable<void> caller_api::handle(std::shared_ptr<http::exchange> call) const
{
    const auto* const found = find_route(call->received());
    const auto workspace = shared_->keys.authenticate(call->received());
    if (found == nullptr || !workspace) {
        const auto reason = workspace ? refusal_reason::malformed : refusal_reason::unauthenticated;
        shared_->metrics.count("refusals_total", {{"reason", std::string(to_string(reason))}});
        auto answer = refusal(reason, workspace ? "no such path" : "");
        co_await call->respond(std::move(answer));
        co_return;
    }
    co_await (this->*(found->answer))(call, *workspace);
}

namespace {

asio::awaitable<void> run_generation(std::shared_ptr<daemon_context> shared,
                                     std::shared_ptr<http::exchange> call,
                                     absl::StatusOr<generation_start> start)
{
    if (!start.ok()) {
        auto answer = refusal_of(start.status());
        shared->metrics.count("refusals_total", {{"reason", "malformed"}});
        co_await call->respond(std::move(answer));
        co_return;
    }
    if (!shared->in_flight_requests.enter()) {
        auto answer = refusal(refusal_reason::draining);
        shared->metrics.count("refusals_total", {{"reason", "draining"}});
        co_await call->respond(std::move(answer));
        co_return;
    }
    const in_flight_guard counted(shared->in_flight_requests);
    std::vector<http::header> headers{{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-store"}};
    auto opened = co_await call->start_stream(std::move(headers));
    if (!opened.ok()) {
        co_return;
    }
    auto session = std::make_shared<generation_session>(shared, std::move(call), *std::move(start));
    co_await session->run();
}

} // namespace

asio::awaitable<void> caller_api::start_generation(std::shared_ptr<http::exchange> call,
                                                   core::workspace_id workspace) const
{
    auto start = parse_new_generation(*shared_, call->received(), workspace);
    co_await run_generation(shared_, std::move(call), std::move(start));
}

asio::awaitable<void> caller_api::resume_generation(std::shared_ptr<http::exchange> call,
                                                    core::workspace_id workspace) const
{
    auto start = parse_resumed_generation(*shared_, call->received(), workspace);
    co_await run_generation(shared_, std::move(call), std::move(start));
}

asio::awaitable<void> caller_api::run_short_call(std::shared_ptr<http::exchange> call,
                                                 core::workspace_id workspace) const
{
    co_await short_calls_->handle(std::move(call), std::move(workspace));
}

asio::awaitable<void> caller_api::issue_ticket(std::shared_ptr<http::exchange> call,
                                               core::workspace_id workspace) const
{
    co_await tickets_->handle(std::move(call), std::move(workspace));
}

} // namespace ej::runtime
