#include "asio.h"

#include "idempotent_runner.h"

#include "application_call.h"
#include "pause_for.h"
#include "replies.h"

#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

constexpr int max_tries = 3;
constexpr unsigned first_server_error = 500;
constexpr core::duration wait_for_endpoint = std::chrono::milliseconds(20);

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

asio::awaitable<http::response> idempotent_runner::run(short_call call)
{
    const routing::reach reach{shared_->settings.domain, {}};
    routing::request_features features;
    features.urgent = true;
    features.finish_by = call.deadline;
    for (int tries = 0; tries < max_tries && now() < call.deadline;) {
        const auto placed = shared_->pools.acquire(call.work_class.service, reach, features,
                                                   shared_->ids.next_seed(), now());
        if (!placed) {
            co_await pause_for(wait_for_endpoint);
            continue;
        }
        ++tries;
        auto answer = co_await try_once(call, *placed);
        if (answer.ok() && answer->status < first_server_error) {
            co_return done(answer->body);
        }
        shared_->metrics.count("retries_total", {{"reason", "endpoint_failed"}});
    }
    co_return refusal(core::refusal_reason::no_endpoint);
}

asio::awaitable<absl::StatusOr<http::response>>
idempotent_runner::try_once(const short_call& call, routing::placement where)
{
    const auto began = now();
    const auto endpoint = shared_->endpoints.find(where.endpoint);
    absl::StatusOr<http::response> answer = absl::UnavailableError("endpoint is gone");
    if (endpoint) {
        answer = co_await call_application(shared_->calls, endpoint->where, call, true);
    }
    const bool finished = answer.ok() && answer->status < first_server_error;
    const auto kind = finished ? routing::outcome_kind::finished : routing::outcome_kind::failed;
    const routing::outcome outcome{kind, 1, now() - began};
    shared_->pools.release(where, outcome, now());
    co_return answer;
}

} // namespace ej::runtime
