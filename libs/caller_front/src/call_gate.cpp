#include "call_gate.h"

#include "clock.h"

#include <core/text.h>
#include <suspects/verdict.h>

#include "call_log.h"
#include "own_answer.h"
#include "request_head.h"
#include "stream_call.h"
#include "whole_call.h"

#include <algorithm>
#include <string>
#include <utility>

namespace ej::front {

namespace {

/// The key in the Authorization field; empty if there is none of the site's scheme.
std::string key_of(const caller_request& request, const header_names& names)
{
    const auto field = request.message.header_value("Authorization").value_or("");
    std::string_view rest = field;
    const auto scheme = rest.substr(0, names.key_scheme.size());
    if (!core::equal_ignoring_case(scheme, names.key_scheme)) {
        return {};
    }
    rest.remove_prefix(scheme.size());
    return std::string(core::trimmed(rest));
}

/// How a request is turned away: the status and the reason.
struct denial {
    unsigned status = status_bad_request;
    std::string_view reason;
};

class gate {
public:
    gate(front_context& context, caller_request& request, const std::shared_ptr<reply_sink>& sink)
        : context_(context), request_(request), sink_(sink), rules_(*context.rules.load())
    {
    }

    std::shared_ptr<forwarded_call> pass(upstream_pool& pool)
    {
        if (rules_ == nullptr) {
            turn_away({status_unavailable, "no_configuration"});
            return nullptr;
        }
        const auto hosts =
            std::ranges::count_if(request_.message.headers, [](const http::header& field) {
                return core::equal_ignoring_case(field.name, "Host");
            });
        if (hosts != 1 || !request_.message.target.starts_with('/')) {
            turn_away({status_bad_request, "malformed"});
            return nullptr;
        }
        const auto host = request_.message.header_value("Host").value_or("");
        const auto* const by = rules_->find_route(host, request_.path());
        if (by == nullptr) {
            turn_away({status_not_found, "no_route"});
            return nullptr;
        }
        const auto* const holder = rules_->find_holder(key_of(request_, context_.headers));
        if (holder == nullptr && rules_->requires_key(*by)) {
            turn_away({status_unauthorized, "unauthenticated"});
            return nullptr;
        }
        if (ends_too_late(*by)) {
            turn_away({status_unavailable, "leaving"});
            return nullptr;
        }
        // Routes without a key name the workspace of a caller that shows one.
        const auto workspace = holder == nullptr ? core::workspace_id() : holder->workspace;
        const auto digest = request_digest_of(workspace, request_);
        if (context_.suspects.judge(digest, now()) == suspects::verdict::refuse) {
            turn_away({status_unavailable, "suspect"});
            return nullptr;
        }
        return make_call(pool, *by, workspace);
    }

private:
    /// True if the daemon would be gone before the answer is. A balancer without other daemons
    /// still sends callers here.
    bool ends_too_late(const forwarding::route& by) const
    {
        const auto schedule = *context_.schedule.load();
        if (!schedule || request_.arrived < schedule->noticed) {
            return false;
        }
        return by.kind == core::work_kind::generation ||
               request_.arrived + by.timeout > schedule->end;
    }

    void turn_away(const denial& why)
    {
        const auto id = request_.message.header_value(context_.headers.request_id).value_or("");
        sink_->reply(why.status == status_unavailable
                         ? own_refusal(why.reason, id, context_.headers)
                         : own_answer(why.status, why.reason, id, context_.headers));
        context_.metrics.count("refusals_total", {{"reason", std::string(why.reason)}});
        log_turned_away(id, request_.message.target, why.reason, why.status,
                        rules_ == nullptr ? core::revision() : rules_->rules().version);
    }

    std::shared_ptr<forwarded_call> make_call(upstream_pool& pool, const forwarding::route& by,
                                              core::workspace_id workspace)
    {
        call_setting setting{context_, pool, rules_, by, std::move(workspace)};
        if (by.kind == core::work_kind::generation) {
            return std::make_shared<stream_call>(std::move(setting), std::move(request_), sink_);
        }
        return std::make_shared<whole_call>(std::move(setting), std::move(request_), sink_);
    }

    front_context& context_;
    caller_request& request_;
    const std::shared_ptr<reply_sink>& sink_;
    std::shared_ptr<const forwarding::rulebook> rules_;
};

} // namespace

std::shared_ptr<forwarded_call> admit(front_context& context, upstream_pool& pool,
                                      caller_request request,
                                      const std::shared_ptr<reply_sink>& sink)
{
    return gate(context, request, sink).pass(pool);
}

} // namespace ej::front
