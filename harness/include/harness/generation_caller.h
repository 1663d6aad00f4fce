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

/// A caller as the interface asks it to behave: it keeps what it received and takes a broken
/// stream up again at any daemon.
class generation_caller {
public:
    explicit generation_caller(generation_call call) : call_(std::move(call)) {}

    /// Sends the request to a daemon.
    stream_state start(const core::address& daemon);

    /// Takes the stream up at a daemon: by its cursor, or with the received text if that is asked.
    stream_state resume(const core::address& daemon);

    /// Reads until `tokens` are received or the stream stops.
    stream_state read_until(std::uint64_t tokens);

    /// Reads to the end; takes a broken stream up at each of `daemons` in turn, once each.
    stream_state read_to_end(std::span<const core::address> daemons = {});

    /// Leaves: closes the connection.
    void leave() { stream_.reset(); }

    [[nodiscard]] const received_answer& answer() const { return answer_; }

private:
    stream_state open(const core::address& daemon, const http_call& call);
    stream_state resume_with_text(const core::address& daemon);
    stream_state take(const sse_event& event);
    void take_start(const sse_event& event);
    void take_tokens(const sse_event& event);
    void take_end(const sse_event& event);
    void take_error(const sse_event& event);
    [[nodiscard]] http_call submission(bool with_text) const;

    generation_call call_;
    core::address daemon_; ///< The one that was asked last.
    received_answer answer_;
    std::optional<event_stream> stream_;
    stream_state state_ = stream_state::broken;
};

} // namespace ej::harness
