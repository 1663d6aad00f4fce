#include "forwarded_call.h"

#include "clock.h"

#include "call_log.h"
#include "death_check.h"
#include "draw_of.h"
#include "local_reply.h"

#include <forwarding/draw_service.h>
#include <forwarding/retry_policy.h>
#include <suspects/verdict.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;
using std::chrono::milliseconds;

/// The caller's deadline, or the route's timeout if that is shorter.
core::instant deadline_for(const caller_request& request, const header_names& names,
                           const forwarding::route& matched_route)
{
    const auto asked = deadline_of(request, names);
    return request.arrived + std::min(asked.value_or(matched_route.timeout), matched_route.timeout);
}

} // namespace

forwarded_call::forwarded_call(call_environment environment, caller_request request,
                               std::weak_ptr<reply_sink> sink)
    : environment_(std::move(environment)), request_(std::move(request)),
      request_id_(
          request_.message.header_value(environment_.context.headers.request_id).value_or("")),
      size_(size_of(request_, environment_.context.headers)),
      service_(draw_service(environment_.matched_route, draw_of(request_id_))),
      digest_(request_digest_of(environment_.workspace, request_)),
      body_(std::make_shared<const std::string>(std::move(request_.message.body))),
      deadline_(deadline_for(request_, environment_.context.headers, environment_.matched_route)),
      sink_(std::move(sink))
{
    ++environment_.context.calls_open;
}

forwarded_call::~forwarded_call()
{
    --environment_.context.calls_open;
}

void forwarded_call::start()
{
    deadline_timer_ = make_timer([this] { end_now("timeout"); });
    deadline_timer_->set(deadline_);
    environment_.context.budget.first(service_, now());
    send();
}

void forwarded_call::caller_gone()
{
    if (over_) {
        return;
    }
    cancel_attempts();
    finish("caller_gone", 0);
}

void forwarded_call::end_now(std::string_view reason)
{
    if (over_) {
        return;
    }
    const auto self = shared_from_this();
    progress_.expired = true;
    expire(reason);
}

milliseconds forwarded_call::time_left() const
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline_ - now()), milliseconds(0));
}

std::vector<forwarding::candidate> forwarded_call::candidates(bool include_tried) const
{
    const auto available_endpoints = environment_.context.endpoints.load();
    const auto& all = available_endpoints->of(service_);
    const auto rule = version_rule();
    if (!rule) {
        return candidates_among(all, include_tried);
    }
    const auto preferred = preferred_of(all, *rule);
    auto found = candidates_among(preferred, include_tried);
    const bool others = rule->fallback == rollout::version_fallback::if_none_accepts
                            ? found.empty()
                            : rule->allows_others() && preferred.empty();
    return others ? candidates_among(others_of(all, *rule), include_tried) : found;
}

std::vector<forwarding::candidate>
forwarded_call::candidates_among(std::span<const core::endpoint> endpoints,
                                 bool include_tried) const
{
    const auto at = now();
    // Copied, since the fleet may be replaced during the call.
    std::vector<forwarding::candidate> found;
    for (const core::endpoint& one : endpoints) {
        if (!include_tried && tried_.contains(one.name)) {
            continue;
        }
        const auto stats = environment_.context.stats.of(one);
        if (stats.accepts_requests(at)) {
            found.push_back({one, stats, one.domain == environment_.context.settings.domain});
        }
    }
    return found;
}

std::optional<core::endpoint>
forwarded_call::choose(const std::vector<forwarding::candidate>& from) const
{
    const auto choices_made = environment_.context.choices_made.fetch_add(1);
    const auto chosen = environment_.context.choice->choose(from, size_, choices_made, now());
    if (!chosen) {
        return std::nullopt;
    }
    return from[*chosen].what;
}

forwarded_call::attempt_ptr forwarded_call::attempt_at(const core::endpoint& endpoint,
                                                       request_head head,
                                                       core::duration connect_timeout)
{
    head.time_left = time_left();
    head.expected_endpoint = endpoint.name;
    head.workspace = environment_.workspace;
    auto attempt = std::make_shared<upstream_attempt>(
        environment_.pool, endpoint, environment_.context.headers.request_id, request_id_);
    tried_.insert(endpoint.name);
    tokens_unread_ = size_.prompt_tokens;
    last_endpoint_ = endpoint;
    log_attempt_begin(request_id_, endpoint, environment_.context.stats.of(endpoint), head);
    environment_.context.stats.begin(endpoint.name, size_.prompt_tokens);
    if (const auto tokens = memory_needed(); tokens > 0) {
        memory_ = placed_memory(environment_.context.stats, endpoint.name, tokens);
    }
    report_load_change(endpoint);
    counted_.insert(attempt.get());
    await_answer(*attempt);
    attempt->start(
        weak_from_this(),
        {encode_head(request_, body_->size(), head, environment_.context.headers), body_},
        request_.message.method == "HEAD", connect_timeout);
    return attempt;
}

void forwarded_call::release_load(upstream_attempt& attempt)
{
    samples_.erase(&attempt);
    if (counted_.erase(&attempt) > 0) {
        environment_.context.stats.end(attempt.endpoint().name, tokens_unread_);
        memory_.release();
        report_load_change(attempt.endpoint());
        environment_.waiting.place_freed();
    }
}

void forwarded_call::report_load_change(const core::endpoint& endpoint) const
{
    // Other calls end before another daemon could use the report.
    if (environment_.matched_route.kind == core::work_kind::generation) {
        environment_.context.load_changed(endpoint);
    }
}

void forwarded_call::record_failure(upstream_attempt& attempt, attempt_end end,
                                    const std::string& detail)
{
    release_load(attempt);
    last_failure_ = detail;
    const auto& endpoint = attempt.endpoint();
    auto& context = environment_.context;
    // A refusal with a requested backoff is no failure: the endpoint said when it will be back.
    const bool refused = end == attempt_end::not_executed || end == attempt_end::not_sent;
    if (!refused || may_send(attempt)) {
        context.stats.failed(endpoint.name, end, now());
    }
    if (end == attempt_end::misdirected || end == attempt_end::silent) {
        environment_.pool.drop(endpoint.where);
    }
    if (end == attempt_end::failed || end == attempt_end::spoiled) {
        note_answer(attempt, rollout::answer_measure::failure);
    }
    const auto rule = version_rule();
    target_failed_ = target_failed_ || (rule && endpoint.version == rule->target);
    ++(attempt.sent() ? progress_.sends : progress_.unsent);
    const bool ran = forwarding::may_have_run(end) && attempt.sent();
    progress_.may_have_run = progress_.may_have_run || ran;
    progress_.runs += ran ? 1 : 0;
    context.metrics.count("attempts_ended_total", {{"end", std::string(to_string(end))}});
    // An endpoint that ends may close its connection in an orderly way, so that its answer only
    // looks spoiled.
    const bool may_have_died =
        end == attempt_end::broken || end == attempt_end::silent || end == attempt_end::spoiled;
    // An endpoint that asked for a backoff gets no new connection for its silence alone.
    const bool may_check = end != attempt_end::silent || may_send(attempt);
    if (attempt.sent() && may_have_died && may_check) {
        check_death(context, environment_.pool, endpoint,
                    {digest_, progress_.had_output, environment_.parts}, request_id_);
    }
    log_attempt_end(request_id_, endpoint, end, detail, now() - attempt.started(),
                    context.stats.of(endpoint));
}

forwarding::next_step forwarded_call::decide(attempt_end end)
{
    const auto& policy = forwarding::policy_for(environment_.matched_route);
    progress_.budget_left = true;
    auto step = policy.after(end, progress_, environment_.matched_route);
    auto& context = environment_.context;
    const bool further =
        step == forwarding::next_step::send_again || step == forwarding::next_step::wait;
    if (further && !trial_goes_on() && held_back(progress_.may_have_run)) {
        context.metrics.count("sends_denied_total", {{"reason", "suspect"}});
        return progress_.may_have_run ? forwarding::next_step::fail : forwarding::next_step::refuse;
    }
    // An attempt that failed to connect put no load on the service.
    if (step == forwarding::next_step::send_again && end != attempt_end::not_sent &&
        !context.budget.take(service_, context.daemons, now())) {
        progress_.budget_left = false;
        context.metrics.count("sends_denied_total", {{"reason", "budget"}});
        step = policy.after(end, progress_, environment_.matched_route);
    }
    return step;
}

bool forwarded_call::held_back(bool may_have_run) const
{
    auto& context = environment_.context;
    if (context.suspects.evaluate(digest_, now()) == suspects::verdict::refuse) {
        return true;
    }
    if (progress_.had_output) {
        return false; // Its output has proved its parts.
    }
    // A request that certainly has not run has caused no death: sending it on is as safe as
    // admitting it now.
    return may_have_run ? !context.parts.allows_resend(environment_.parts)
                        : context.parts.holds_any(environment_.parts);
}

bool forwarded_call::trial_goes_on() const
{
    // Only if it has not begun to run, and no other daemon has tried the parts meanwhile.
    return !environment_.trial_of.empty() && !progress_.may_have_run &&
           (trial_counted_ || environment_.context.parts.is_admitted(environment_.trial_of));
}

bool forwarded_call::may_be_repeated() const
{
    const auto& by = environment_.matched_route;
    return by.kind == core::work_kind::idempotent ||
           (by.kind == core::work_kind::generation && by.resumable);
}

void forwarded_call::on_sent(upstream_attempt& /*attempt*/)
{
    if (!environment_.trial_of.empty() && !std::exchange(trial_counted_, true)) {
        environment_.context.parts.begin_trial(environment_.trial_of);
    }
}

std::shared_ptr<lazy_timer> forwarded_call::make_timer(std::function<void()> action)
{
    return std::make_shared<lazy_timer>(environment_.pool.lane(),
                                        [weak = weak_from_this(), action = std::move(action)] {
                                            const auto self = weak.lock();
                                            if (self != nullptr && !self->over_) {
                                                action();
                                            }
                                        });
}

} // namespace ej::front
