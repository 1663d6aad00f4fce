#include "call_admission.h"

#include "clock.h"

#include <core/text.h>
#include <suspects/refusal_pause.h>
#include <suspects/verdict.h>

#include "buffered_call.h"
#include "call_log.h"
#include "local_reply.h"
#include "prompt_parts.h"
#include "request_head.h"
#include "shared_parts.h"
#include "stream_call.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

/// The API key in the Authorization field; empty if it has another scheme or is absent.
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

/// Status and reason of a rejected request.
struct rejection {
    unsigned status = status_bad_request;
    std::string_view reason;
    std::optional<core::duration> retry_after; // Unset: the usual one of a refusal.
};

// A daemon that can reach the store again, or a peer that can, knows the rules within this time.
constexpr std::chrono::milliseconds confirmation_delay{500};

class admission_check {
public:
    admission_check(front_context& context, caller_request& request,
                    const std::shared_ptr<reply_sink>& sink)
        : context_(context), request_(request), sink_(sink), rules_(*context.rules.load())
    {
    }

    std::shared_ptr<forwarded_call> check_and_start(upstream_pool& pool, waiting_calls& waiting)
    {
        if (rules_ == nullptr) {
            send_rejection({status_unavailable, "no_configuration", {}});
            return nullptr;
        }
        const auto hosts =
            std::ranges::count_if(request_.message.headers, [](const http::header& field) {
                return core::equal_ignoring_case(field.name, "Host");
            });
        if (hosts != 1 || !request_.message.target.starts_with('/')) {
            send_rejection({status_bad_request, "malformed", {}});
            return nullptr;
        }
        const auto host = request_.message.header_value("Host").value_or("");
        const auto* const matched_route = rules_->find_route(host, request_.path());
        if (matched_route == nullptr) {
            reject_unknown({status_not_found, "no_route", {}});
            return nullptr;
        }
        const auto* const holder = rules_->find_holder(key_of(request_, context_.headers));
        if (holder == nullptr && rules_->requires_key(*matched_route)) {
            reject_unknown({status_unauthorized, "unauthenticated", {}});
            return nullptr;
        }
        if (is_closed_to(*matched_route)) {
            send_rejection({status_unavailable, "leaving", {}});
            return nullptr;
        }
        // On a public route, a caller with a valid key is still attributed to its workspace.
        const auto workspace = holder == nullptr ? core::workspace_id() : holder->workspace;
        const auto digest = request_digest_of(workspace, request_);
        if (context_.suspects.evaluate(digest, now()) == suspects::verdict::refuse) {
            send_rejection({status_unavailable, "suspect", suspects::longest_refusal_pause});
            return nullptr;
        }
        auto parts = read_parts();
        auto by_parts = context_.parts.evaluate(parts);
        if (by_parts.how == suspects::verdict::refuse) {
            send_rejection({status_unavailable, "suspect", by_parts.retry_after});
            return nullptr;
        }
        return make_call(pool, waiting, *matched_route, workspace, std::move(parts),
                         std::move(by_parts.held));
    }

private:
    /// True for a generation once the load balancer knows that this daemon is leaving. One without
    /// other daemons still sends callers here.
    bool is_closed_to(const forwarding::route& matched_route) const
    {
        const auto schedule = *context_.schedule.load();
        return schedule && matched_route.kind == core::work_kind::generation &&
               now() >= schedule->balancer_stops_by;
    }

    std::vector<suspects::part_digest> read_parts()
    {
        const auto listed = prompt_parts_of(request_, context_.headers);
        if (listed.unread > 0) {
            context_.metrics.count("prompt_parts_unread_total", {}, double(listed.unread));
            log_unread_parts(
                request_.message.header_value(context_.headers.request_id).value_or(""),
                listed.parts.size(), listed.unread);
        }
        return shared_parts_of(listed);
    }

    /// Rejects a request that the rules do not allow. Rules that may be out of date allow no final
    /// answer: the route or key may have been added since.
    void reject_unknown(const rejection& why)
    {
        const bool confirmed =
            context_.rules_confirmed_at.load() + context_.settings.confirmed_within >= now();
        send_rejection(confirmed ? why
                                 : rejection{status_unavailable, "unconfirmed_configuration",
                                             confirmation_delay});
    }

    void send_rejection(const rejection& why)
    {
        const auto id = request_.message.header_value(context_.headers.request_id).value_or("");
        if (why.status == status_unavailable) {
            sink_->reply(local_refusal(why.reason, id, context_.headers,
                                       why.retry_after.value_or(usual_return_delay)));
        }
        else {
            sink_->reply(local_reply(why.status, why.reason, id, context_.headers));
        }
        context_.metrics.count("refusals_total", {{"reason", std::string(why.reason)}});
        log_rejection(id, request_.message.target, why.reason, why.status,
                      rules_ == nullptr ? core::revision() : rules_->rules().version);
    }

    std::shared_ptr<forwarded_call> make_call(upstream_pool& pool, waiting_calls& waiting,
                                              const forwarding::route& matched_route,
                                              core::workspace_id workspace,
                                              std::vector<suspects::part_digest> parts,
                                              std::vector<suspects::part_digest> trial_of)
    {
        call_environment environment{context_,         pool,
                                     waiting,          rules_,
                                     matched_route,    std::move(workspace),
                                     std::move(parts), std::move(trial_of)};
        if (matched_route.kind == core::work_kind::generation) {
            return std::make_shared<stream_call>(std::move(environment), std::move(request_),
                                                 sink_);
        }
        return std::make_shared<buffered_call>(std::move(environment), std::move(request_), sink_);
    }

    front_context& context_;
    caller_request& request_;
    const std::shared_ptr<reply_sink>& sink_;
    std::shared_ptr<const forwarding::indexed_ruleset> rules_;
};

} // namespace

std::shared_ptr<forwarded_call> admit(front_context& context, upstream_pool& pool,
                                      waiting_calls& waiting, caller_request request,
                                      const std::shared_ptr<reply_sink>& sink)
{
    return admission_check(context, request, sink).check_and_start(pool, waiting);
}

} // namespace ej::front
