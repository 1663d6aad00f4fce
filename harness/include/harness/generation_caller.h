#pragma once

#include <harness/event_stream.h>
#include <harness/generation_call.h>
#include <harness/received_answer.h>
#include <harness/stream_state.h>

#include <core/address.h>

#include <cstdint>
#include <optional>
#include <span>

namespace ej::harness {

/// Client of the generation interface: keeps the received output and resumes a broken stream at
/// any daemon.
class generation_caller {
public:
    explicit generation_caller(generation_call call) : call_(std::move(call)) {}

    /// Sends the request to a daemon.
    stream_state start(const core::address& daemon);

    /// Resumes the stream at a daemon: by its cursor, or, without a cursor, by submitting the
    /// request again with the received text, if any.
    stream_state resume(const core::address& daemon);

    /// Reads until `tokens` tokens are received in total or the stream stops. Resumes with the
    /// received text when the daemon answers `prefix_needed`.
    stream_state read_until(std::uint64_t tokens);

    /// Reads to the end; resumes a broken stream at each of `daemons` in turn, at most once each.
    stream_state read_to_end(std::span<const core::address> daemons = {});

    /// Closes the connection.
    void disconnect() { stream_.reset(); }

    [[nodiscard]] const received_answer& answer() const { return answer_; }

private:
    stream_state open(const core::address& daemon, const http_call& call);
    stream_state resume_with_text(const core::address& daemon);
    stream_state handle_event(const sse_event& event);
    void handle_start(const sse_event& event);
    void handle_tokens(const sse_event& event);
    void handle_end(const sse_event& event);
    void handle_error(const sse_event& event);
    [[nodiscard]] http_call submission(bool with_text) const;

    generation_call call_;
    core::address daemon_; ///< The daemon of the last request.
    received_answer answer_;
    std::optional<event_stream> stream_;
    stream_state state_ = stream_state::broken;
};

} // namespace ej::harness
