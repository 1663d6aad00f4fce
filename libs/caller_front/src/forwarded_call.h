#pragma once

#include "attempt_listener.h"
#include "call_environment.h"
#include "caller_request.h"
#include "lazy_timer.h"
#include "net.h"
#include "placed_memory.h"
#include "reply_sink.h"
#include "request_head.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

#include <forwarding/call_progress.h>
#include <forwarding/call_size.h>
#include <forwarding/candidate.h>
#include <forwarding/engine_profile.h>
#include <forwarding/indexed_ruleset.h>
#include <forwarding/next_step.h>
#include <forwarding/route.h>

#include <rollout/answer_measure.h>
#include <rollout/pending_sample.h>
#include <rollout/version_rule.h>
#include <suspects/request_digest.h>

#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/instant.h>
#include <core/workspace_id.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Forwards one caller's request to endpoints and returns the answer. Used on the caller's lane.
class forwarded_call : public attempt_listener,
                       public std::enable_shared_from_this<forwarded_call> {
public:
    forwarded_call(call_environment environment, caller_request request,
                   std::weak_ptr<reply_sink> sink);
    ~forwarded_call() override;
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;
    forwarded_call(forwarded_call&&) = delete;
    forwarded_call& operator=(forwarded_call&&) = delete;

    /// Chooses an endpoint and sends the request.
    void start();

    /// The caller has closed its connection: running attempts are cancelled.
    void caller_gone();

    void on_sent(upstream_attempt& attempt) override;

    [[nodiscard]] bool may_send(const upstream_attempt& attempt) const override;

    [[nodiscard]] bool may_be_repeated() const override;

    /// Refuses the request if the daemon is leaving, no endpoint has begun it, and it would be cut
    /// at the daemon's end.
    void review();

    /// Ends the call with its final answer now, for `reason`: its deadline has passed or the daemon
    /// shuts down.
    void end_now(std::string_view reason);

protected:
    using attempt_ptr = std::shared_ptr<upstream_attempt>;

    /// Makes another attempt; the call ends with a refusal or failure if there is no endpoint.
    virtual void send() = 0;

    /// Cancels running attempts and sends the final answer, for `reason`.
    virtual void expire(std::string_view reason) = 0;

    /// Cancels all running attempts.
    virtual void cancel_attempts() = 0;

    /// True while an attempt is in progress.
    [[nodiscard]] virtual bool is_running() const = 0;

    /// True if the answer to a request that is sent from now on would probably come after
    /// `calls_end`.
    [[nodiscard]] virtual bool outlasts_daemon() const;

    /// When a leaving daemon ends its calls; `max` if it is not leaving.
    [[nodiscard]] core::instant calls_end() const;

    /// Refuses a request that no endpoint has begun and that would outlast the daemon; false if it
    /// may be sent.
    bool refuse_if_too_late();

    /// The endpoints of the call's service that accept requests and were not tried yet, or all that
    /// accept requests if `include_tried`.
    [[nodiscard]] std::vector<forwarding::candidate> candidates(bool include_tried) const;

    /// Those of `endpoints` that accept requests and were not tried yet, or all that accept
    /// requests if `include_tried`.
    [[nodiscard]] std::vector<forwarding::candidate>
    candidates_among(std::span<const core::endpoint> endpoints, bool include_tried) const;

    /// The versions that the call may use now; empty without a roll-out of its service.
    [[nodiscard]] std::optional<rollout::version_rule> version_rule() const;

    /// The endpoints of the call's service that its version rule allows.
    [[nodiscard]] std::vector<core::endpoint> allowed_endpoints() const;

    /// Counts a new attempt as awaited for the roll-out of its service, if there is one.
    void await_answer(const upstream_attempt& attempt);

    /// Counts an answer of `attempt` for the roll-out of its service, if there is one.
    void note_answer(const upstream_attempt& attempt, rollout::answer_measure measure);

    /// The endpoint chosen from `from`; empty if `from` is empty.
    [[nodiscard]] std::optional<core::endpoint>
    choose(const std::vector<forwarding::candidate>& from) const;

    /// Properties of the service's engines; null if it has none.
    [[nodiscard]] const forwarding::engine_profile* engine() const;

    /// Tokens that the request will hold in an engine's memory; 0 if it runs at none.
    [[nodiscard]] std::uint64_t memory_needed() const;

    /// Starts an attempt at `endpoint`.
    attempt_ptr attempt_at(const core::endpoint& endpoint, request_head head,
                           core::duration connect_timeout);

    /// Reports this daemon's load at an engine to the other daemons.
    void report_load_change(const core::endpoint& endpoint) const;

    /// Removes the load of a finished attempt from the endpoint's statistics.
    void release_load(upstream_attempt& attempt);

    /// Records a failed attempt in the endpoint's statistics, the log and the metrics.
    void record_failure(upstream_attempt& attempt, forwarding::attempt_end end,
                        const std::string& detail);

    /// Decides what follows `end`. A further attempt is charged to the retry budget, unless the
    /// last one failed to connect.
    [[nodiscard]] forwarding::next_step decide(forwarding::attempt_end end);

    /// True if an attempt at the silent `endpoint` should be abandoned for one at another endpoint,
    /// which is then charged to the retry budget. `reachable`: the endpoint accepts connections.
    [[nodiscard]] bool may_move_from(const core::endpoint& endpoint, bool reachable);

    /// True if the request may not be sent again, since it or a part of its prompt crashes
    /// endpoints. `may_have_run`: an endpoint may have begun to run it.
    [[nodiscard]] bool held_back(bool may_have_run) const;

    /// True if `answer` has a signature header, whose value is not checked, and echoes the
    /// identifier of this request.
    [[nodiscard]] bool trusted(const answer_parser& answer) const;

    /// Classifies the answer of `attempt`, which is not a success. A refusal counts only if it
    /// certainly belongs to this request.
    [[nodiscard]] forwarding::attempt_end end_of(const upstream_attempt& attempt) const;

    /// Records the load reported by an answer.
    void note_load(const upstream_attempt& attempt);

    /// True if this is a trial of held parts that may be sent to another endpoint.
    [[nodiscard]] bool trial_goes_on() const;

    /// Records the backoff requested by an answer, which applies to the requests of all lanes.
    void note_backoff(const upstream_attempt& attempt);

    /// Records if an answer says that the endpoint leaves.
    void note_leaving(const upstream_attempt& attempt);

    /// Sends an endpoint's complete answer to the caller.
    void pass_on(const answer_parser& answer, std::string body);

    /// Ends the call according to `step`, which is neither `send_again` nor `wait`, after an
    /// attempt that ended with `end`, `answer` and `body`.
    void conclude(forwarding::next_step step, forwarding::attempt_end end,
                  const answer_parser& answer, std::string body);

    /// When the first of the endpoints that accept no requests now may do so; empty if there is
    /// none.
    [[nodiscard]] std::optional<core::instant> earliest_acceptance() const;

    /// Waits until an endpoint accepts requests again if the request can be served then; otherwise
    /// ends the call.
    void wait_or_give_up();

    /// Calls `send` after `delay` unless the request is held back by then.
    void send_after(core::duration delay);

    /// Ends the call with a refusal: the request was not executed. The caller may come back after
    /// `come_back`, or, if that is not set, when an endpoint accepts requests.
    void refuse(std::string_view reason, std::optional<core::duration> come_back = {});

    /// Ends the call with a failure: the outcome is unknown.
    void fail(std::string_view reason, unsigned status);

    /// Ends the call without an endpoint's answer: with a refusal if the request was certainly not
    /// executed, otherwise with a failure of `status`.
    void give_up(std::string_view reason, unsigned status);

    /// A timer that calls `action` on the lane unless the call has ended by then.
    [[nodiscard]] std::shared_ptr<lazy_timer> make_timer(std::function<void()> action);

    /// Ends the call and records its outcome in the log and the metrics.
    void finish(std::string_view outcome, unsigned status);

    [[nodiscard]] bool over() const { return over_; }
    [[nodiscard]] std::chrono::milliseconds time_left() const;
    [[nodiscard]] std::shared_ptr<reply_sink> sink() const { return sink_.lock(); }

    call_environment environment_;
    caller_request request_; // Without its body.
    std::string request_id_;
    forwarding::call_size size_;
    forwarding::call_progress progress_;
    core::service_id service_;
    suspects::request_digest digest_;         // Equal for repeated sends of the same request.
    std::shared_ptr<const std::string> body_; // Of the request.
    core::instant deadline_;
    std::set<core::endpoint_id> tried_;
    std::uint64_t tokens_unread_ = 0; // Of the latest attempt, until its first output.
    std::shared_ptr<lazy_timer> resend_timer_;

private:
    std::weak_ptr<reply_sink> sink_;
    std::shared_ptr<lazy_timer> deadline_timer_;
    placed_memory memory_;                                               // Of the latest attempt.
    std::map<const upstream_attempt*, rollout::pending_sample> samples_; // Without output yet.
    std::set<const upstream_attempt*> counted_; // Attempts whose load is included in `standing`.
    std::optional<core::endpoint> last_endpoint_;
    std::string last_failure_; // Detail of the last failed attempt.
    bool trial_counted_ = false;
    bool target_failed_ = false; // An endpoint of a roll-out's target version failed the request.
    core::duration waited_{};    // For endpoints that requested a backoff.
    bool over_ = false;
};

} // namespace ej::front
