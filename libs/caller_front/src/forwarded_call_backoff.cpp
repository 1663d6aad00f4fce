#include "forwarded_call.h"

#include "clock.h"

#include "call_log.h"
#include "local_reply.h"
#include "retry_after.h"

namespace ej::front {

bool forwarded_call::may_send(const upstream_attempt& attempt) const
{
    return environment_.context.stats.accepts_requests(attempt.endpoint(), now());
}

void forwarded_call::note_backoff(const upstream_attempt& attempt)
{
    const auto& answer = attempt.answer();
    if (answer.status() != status_unavailable || !attempt.answer_is_own()) {
        return;
    }
    auto& context = environment_.context;
    const auto requested = retry_after_of(answer.headers(), context.headers.retry_after);
    if (!requested) {
        return;
    }
    context.stats.back_off(attempt.endpoint(), now() + requested->delay);
    context.metrics.count("endpoint_backoffs_total", {});
    log_backoff(request_id_, attempt.endpoint(), requested->delay);
}

} // namespace ej::front
