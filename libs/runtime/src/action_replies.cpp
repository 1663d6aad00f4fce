#include "action_replies.h"

#include "replies.h"

#include <wire/outcome_body.h>

#include <array>
#include <string>

namespace ej::runtime {

namespace {

using actions::action_outcome;

constexpr unsigned first_error = 400;
constexpr unsigned bad_gateway = 502;

http::response reply_of_ran(const action_outcome& outcome, daemon_context& /*shared*/)
{
    if (!outcome.result) {
        return {200,
                {{"Content-Type", "application/json"}},
                wire::outcome_body("done", "the result is no longer kept")};
    }
    if (outcome.result->status < first_error) {
        return done(outcome.result->body);
    }
    return {bad_gateway,
            {{"Content-Type", "application/json"}},
            wire::outcome_body("failed", "the application answered " +
                                             std::to_string(outcome.result->status))};
}

http::response reply_of_not_run(const action_outcome& outcome, daemon_context& shared)
{
    const auto reason = outcome.refusal.value_or(core::refusal_reason::expired);
    shared.metrics.count("refusals_total", {{"reason", std::string(to_string(reason))}});
    return refusal(reason);
}

http::response reply_of_unknown(const action_outcome& outcome, daemon_context& shared)
{
    const auto reason =
        to_string(outcome.unknown_cause.value_or(actions::unknown_reason::timed_out));
    shared.metrics.count("unknown_outcomes_total", {{"reason", std::string(reason)}});
    return outcome_unknown(reason);
}

} // namespace

http::response reply_of(const action_outcome& outcome, daemon_context& shared)
{
    using reply = http::response (*)(const action_outcome&, daemon_context&);
    constexpr std::array<reply, 3> replies{reply_of_ran, reply_of_not_run, reply_of_unknown};
    return replies.at(static_cast<std::size_t>(outcome.kind))(outcome, shared);
}

} // namespace ej::runtime
