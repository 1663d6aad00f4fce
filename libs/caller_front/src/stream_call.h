#pragma once

#include "byte_share.h"
#include "event_framer.h"
#include "forwarded_call.h"
#include "silence_monitor.h"
#include "waiting_call.h"

#include <forwarding/silence_timeouts.h>

#include <http/response.h>

#include <overload/generation_demand.h>
#include <overload/placement_step.h>

#include <core/request_id.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// A call whose answer is a stream of events. Complete events are forwarded as they arrive; when
/// the engine is lost, the stream resumes at another one after the last event, within the same
/// answer.
class stream_call final : public forwarded_call, public waiting_call {
public:
    stream_call(call_environment environment, caller_request request,
                std::weak_ptr<reply_sink> sink);

    void on_head(upstream_attempt& attempt) override;
    void on_body(upstream_attempt& attempt, std::string part) override;
    void on_complete(upstream_attempt& attempt) override;
    void on_end(upstream_attempt& attempt, forwarding::attempt_end end,
                const std::string& detail) override;

    bool take_turn() override;
    void leave(std::string_view reason) override;
    void review_wait() override { review(); }

private:
    void send() override;
    void expire(std::string_view reason) override;
    void cancel_attempts() override;
    [[nodiscard]] bool is_running() const override { return current_ != nullptr; }
    [[nodiscard]] bool outlasts_daemon() const override;

    void place(const std::vector<forwarding::candidate>& engines);
    bool follow(const overload::placement_step& step,
                const std::vector<forwarding::candidate>& engines);
    [[nodiscard]] overload::generation_demand demand() const;
    [[nodiscard]] std::optional<overload::placement_step>
    step_for(const std::vector<forwarding::candidate>& engines) const;
    void stop_waiting();
    void send_to(const core::endpoint& endpoint, bool from_copy);
    void record_first_output(const upstream_attempt& attempt) const;
    void record_usage(const upstream_attempt& attempt) const;
    void allow_tried();
    void wait_to_resume(std::string_view reason);
    void resume();
    [[nodiscard]] std::optional<core::endpoint> copy_holder() const;
    [[nodiscard]] std::optional<core::endpoint> choose_copy(const core::endpoint& runner) const;
    void deliver(upstream_attempt& attempt, const std::vector<framed_event>& events);
    void record_pace(const upstream_attempt& attempt, core::duration gap) const;
    void record_token_time(core::duration gap, std::size_t events) const;
    void monitor_silence(const core::endpoint& endpoint);
    void handle_silence(const silence_report& seen);
    void abandon_attempt(forwarding::attempt_end end, const std::string& detail);
    attempt_ptr take_failed(forwarding::attempt_end end, const std::string& detail);
    [[nodiscard]] forwarding::silence_timeouts bounds() const;

    attempt_ptr current_;
    event_framer framer_;
    std::string failure_body_;
    byte_share memory_;      // Of `framer_` and `failure_body_`.
    bool accepted_ = false;  // The current attempt's answer is a stream of events.
    bool flowing_ = false;   // The current attempt has delivered an event.
    bool from_copy_ = false; // The current attempt resumes from a copy of the engine's memory.
    http::response head_;    // Header from the first engine; used for the whole answer.
    std::optional<std::uint64_t> last_event_;
    std::optional<core::endpoint> copy_at_; // Has a copy of the current attempt's memory.
    std::shared_ptr<silence_monitor> silence_;
    std::vector<core::endpoint> left_silent_; // Left for their silence; tried last.
    bool silence_noted_ = false;              // The current silence was logged.
    std::uint32_t pauses_ = 0;                // Of the stream since its last output.
    std::optional<core::request_id> ticket_;  // While it waits for a place.
    core::duration forecast_{};               // Of the current attempt's first output; 0: none.
    placed_memory copy_memory_;               // At the engine that keeps a copy.
    std::uint64_t events_ = 0;                // Delivered.
    bool send_allowed_ = false; // The next send has been decided on and charged to the budget.
};

} // namespace ej::front
