#include "replies.h"

#include <wire/outcome_body.h>
#include <wire/refusal_body.h>

#include <array>
#include <chrono>
#include <utility>

namespace ej::runtime {

namespace {

using core::refusal_reason;

constexpr std::chrono::milliseconds retry_after{1'000};

constexpr std::array<unsigned, core::refusal_reason_count> statuses{
    401, 400, 413, 404, 503, 503, 503, 429, 503, 422, 503, 503, 409, 408};

http::response refusal(refusal_reason reason, std::string_view detail,
                       std::chrono::milliseconds retry_delay)
{
    http::response answer;
    answer.status = statuses.at(static_cast<std::size_t>(reason));
    answer.headers = {{"Content-Type", "application/json"}};
    answer.body = wire::refusal_body(core::to_string(reason), detail, retry_delay);
    return answer;
}

} // namespace

http::response refusal(refusal_reason reason, std::string_view detail)
{
    return refusal(reason, detail, retry_after);
}

http::response refusal(const admission::refusal& why)
{
    return refusal(why.reason, {}, std::chrono::ceil<std::chrono::milliseconds>(why.retry_after));
}

http::response done(std::string_view result)
{
    return {200, {{"Content-Type", "application/json"}}, wire::done_body(result)};
}

http::response outcome_unknown(std::string_view reason)
{
    constexpr unsigned gateway_timeout = 504;
    return {gateway_timeout,
            {{"Content-Type", "application/json"}},
            wire::outcome_body("outcome_unknown", reason)};
}

http::response refusal_of(const absl::Status& fault)
{
    const auto detail = std::string_view(fault.message().data(), fault.message().size());
    if (absl::IsNotFound(fault)) {
        return refusal(refusal_reason::unknown_class, detail);
    }
    if (absl::IsPermissionDenied(fault)) {
        return refusal(refusal_reason::unauthenticated, detail);
    }
    return refusal(refusal_reason::malformed, detail);
}

} // namespace ej::runtime
