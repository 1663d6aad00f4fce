#include "forwarded_call.h"

#include "clock.h"

#include "call_log.h"
#include "death_check.h"
#include "own_answer.h"

#include <forwarding/call_policy.h>
#include <forwarding/draw_service.h>
#include <suspects/verdict.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;
using std::chrono::milliseconds;

constexpr unsigned status_misdirected = 421;

/// The caller's deadline, or the route's timeout if that is shorter.
core::instant deadline_for(const caller_request& request, const header_names& names,
                           const forwarding::route& by)
{
    const auto asked = deadline_of(request, names);
    return request.arrived + std::min(asked.value_or(by.timeout), by.timeout);
}

} // namespace

forwarded_call::forwarded_call(call_setting setting, caller_request request,
                               std::weak_ptr<reply_sink> sink)
    : setting_(std::move(setting)), request_(std::move(request)),
      request_id_(request_.message.header_value(setting_.context.headers.request_id).value_or("")),
      size_(size_of(request_,
                    setting_.context.headers)), // The identifier decides, so that requests are
                                                // spread by weight without a random source.
      service_(draw_service(setting_.by, std::hash<std::string>{}(request_id_))),
      digest_(request_digest_of(setting_.workspace, request_)),
      deadline_(deadline_for(request_, setting_.context.headers, setting_.by)),
      sink_(std::move(sink))
{
    ++setting_.context.calls_open;
}

forwarded_call::~forwarded_call()
{
    --setting_.context.calls_open;
}

void forwarded_call::start()
{
    deadline_timer_ = make_timer([this] { end_now("timeout"); });
    deadline_timer_->set(deadline_);
    setting_.context.budget.first(service_, now());
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

std::vector<forwarding::candidate> forwarded_call::candidates(bool again) const
{
    const auto fleet = setting_.context.endpoints.load();
    // Copied, since the fleet may be replaced while the call goes on.
    std::vector<forwarding::candidate> found;
    for (const core::endpoint& one : fleet->of(service_)) {
        if (again || !tried_.contains(one.name)) {
            found.push_back({one, setting_.context.standing.of(one),
                             one.domain == setting_.context.settings.domain});
        }
    }
    return found;
}

std::optional<core::endpoint>
forwarded_call::choose(const std::vector<forwarding::candidate>& from) const
{
    const auto turn = setting_.context.turn.fetch_add(1);
    const auto chosen = setting_.context.choice->choose(from, size_, turn, now());
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
    head.workspace = setting_.workspace;
    auto attempt = std::make_shared<upstream_attempt>(
        setting_.pool, endpoint, setting_.context.headers.request_id, request_id_);
    tried_.insert(endpoint.name);
    tokens_unread_ = size_.prompt_tokens;
    last_endpoint_ = endpoint.name.text();
    log_attempt_begin(request_id_, endpoint, setting_.context.standing.of(endpoint), head);
    setting_.context.standing.begin(endpoint.name, size_.prompt_tokens);
    tell_load(endpoint.name);
    counted_.insert(attempt.get());
    attempt->start(weak_from_this(), encode(request_, head, setting_.context.headers),
                   request_.message.method == "HEAD", connect_timeout);
    return attempt;
}

void forwarded_call::settle(upstream_attempt& attempt)
{
    if (counted_.erase(&attempt) > 0) {
        setting_.context.standing.end(attempt.endpoint().name, tokens_unread_);
        tell_load(attempt.endpoint().name);
    }
}

void forwarded_call::tell_load(const core::endpoint_id& endpoint) const
{
    // Plain calls are over before another daemon could make use of the news.
    if (setting_.by.kind == core::work_kind::generation) {
        setting_.context.load_changed(endpoint);
    }
}

void forwarded_call::note_end(upstream_attempt& attempt, attempt_end end, const std::string& detail)
{
    settle(attempt);
    const auto& endpoint = attempt.endpoint();
    auto& context = setting_.context;
    context.standing.failed(endpoint.name, end, now());
    if (end == attempt_end::misdirected || end == attempt_end::silent) {
        setting_.pool.drop(endpoint.where);
    }
    ++(attempt.sent() ? progress_.sends : progress_.unsent);
    const bool ran = forwarding::may_have_run(end) && attempt.sent();
    progress_.may_have_run = progress_.may_have_run || ran;
    progress_.runs += ran ? 1 : 0;
    context.metrics.count("attempts_ended_total", {{"end", std::string(to_string(end))}});
    if (attempt.sent() && (end == attempt_end::broken || end == attempt_end::silent)) {
        // A request that crashes endpoints does so before its first output.
        const auto suspect = progress_.had_output ? std::nullopt : std::optional(digest_);
        check_death(context, setting_.pool, endpoint, suspect, request_id_);
    }
    log_attempt_end(request_id_, endpoint, end, detail, now() - attempt.started(),
                    context.standing.of(endpoint));
}

forwarding::next_step forwarded_call::decide(attempt_end end)
{
    const auto& policy = forwarding::policy_for(setting_.by);
    progress_.budget_left = true;
    auto step = policy.after(end, progress_, setting_.by);
    auto& context = setting_.context;
    if (step == forwarding::next_step::send_again &&
        context.suspects.judge(digest_, now()) == suspects::verdict::refuse) {
        context.metrics.count("sends_denied_total", {{"reason", "suspect"}});
        return progress_.may_have_run ? forwarding::next_step::fail : forwarding::next_step::refuse;
    }
    // An attempt without a connection put no load on the service.
    if (step == forwarding::next_step::send_again && end != attempt_end::not_sent &&
        !context.budget.take(service_, context.daemons, now())) {
        progress_.budget_left = false;
        context.metrics.count("sends_denied_total", {{"reason", "budget"}});
        step = policy.after(end, progress_, setting_.by);
    }
    return step;
}

bool forwarded_call::trusted(const answer_parser& answer) const
{
    const auto& names = setting_.context.headers;
    return !answer.header(names.signature).empty() &&
           answer.header(names.request_id) == request_id_;
}

attempt_end forwarded_call::end_of(const answer_parser& answer) const
{
    const bool not_executed = !answer.header(setting_.context.headers.not_executed).empty();
    if (answer.status() == status_misdirected) {
        return attempt_end::misdirected;
    }
    if (not_executed) {
        return attempt_end::not_executed;
    }
    return answer.success() || !trusted(answer) ? attempt_end::spoiled : attempt_end::failed;
}

void forwarded_call::note_load(const upstream_attempt& attempt)
{
    if (const auto load = load_of(attempt.answer().header(setting_.context.headers.load))) {
        setting_.context.standing.report(attempt.endpoint().name, *load, now());
    }
}

std::shared_ptr<lazy_timer> forwarded_call::make_timer(std::function<void()> action)
{
    return std::make_shared<lazy_timer>(setting_.pool.lane(),
                                        [weak = weak_from_this(), action = std::move(action)] {
                                            const auto self = weak.lock();
                                            if (self != nullptr && !self->over_) {
                                                action();
                                            }
                                        });
}

} // namespace ej::front
