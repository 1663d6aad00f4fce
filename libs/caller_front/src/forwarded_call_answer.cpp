#include "forwarded_call.h"

#include "clock.h"

#include "leaving_field.h"
#include "leaving_record.h"
#include "local_reply.h"

namespace ej::front {

using forwarding::attempt_end;

bool forwarded_call::trusted(const answer_parser& answer) const
{
    const auto& names = environment_.context.headers;
    return !answer.header(names.signature).empty() &&
           answer.header(names.request_id) == request_id_;
}

attempt_end forwarded_call::end_of(const upstream_attempt& attempt) const
{
    const auto& answer = attempt.answer();
    const bool not_executed = !answer.header(environment_.context.headers.not_executed).empty();
    if (not_executed && attempt.answer_is_own()) {
        return answer.status() == status_misdirected ? attempt_end::misdirected
                                                     : attempt_end::not_executed;
    }
    return answer.success() || !trusted(answer) ? attempt_end::spoiled : attempt_end::failed;
}

void forwarded_call::note_load(const upstream_attempt& attempt)
{
    if (const auto load = load_of(attempt.answer().header(environment_.context.headers.load))) {
        environment_.context.stats.report(attempt.endpoint().name, *load, now());
    }
}

void forwarded_call::note_leaving(const upstream_attempt& attempt)
{
    const auto& answer = attempt.answer();
    // A misdirected request was answered by another endpoint than the expected one.
    if (says_leaving(answer.headers(), environment_.context.headers.leaving) &&
        attempt.answer_is_own() && answer.status() != status_misdirected) {
        record_leaving(environment_.context,
                       {forwarding::run_of(attempt.endpoint()), forwarding::leaving_source::answer},
                       request_id_);
    }
}

} // namespace ej::front
