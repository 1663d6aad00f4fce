#pragma once

#include <harness/http_call.h>
#include <harness/sse_event.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace ej::harness {

class blocking_body;

/// An answer of server-sent events, read one at a time; blocks for 90 s at most on each.
class event_stream {
public:
    /// Sends `call`. Error: Unavailable when the connection broke.
    static absl::StatusOr<event_stream> open(const core::address& where, const http_call& call);

    ~event_stream();
    event_stream(event_stream&&) noexcept;
    event_stream& operator=(event_stream&&) noexcept;
    event_stream(const event_stream&) = delete;
    event_stream& operator=(const event_stream&) = delete;

    /// The answer's status.
    [[nodiscard]] unsigned status() const;

    /// The next event. Errors: OutOfRange at the proper end, Unavailable when the stream broke.
    [[nodiscard]] absl::StatusOr<sse_event> next();

private:
    explicit event_stream(std::unique_ptr<blocking_body> body);

    std::unique_ptr<blocking_body> body_;
    std::string unread_;
};

} // namespace ej::harness
