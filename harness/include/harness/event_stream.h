#pragma once

#include <harness/http_call.h>
#include <harness/sse_event.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace ej::harness {

class blocking_body;

/// A response of server-sent events, read one by one; each read blocks for at most 90 s.
class event_stream {
public:
    /// Sends `call` and reads the response header. Error: Unavailable when the connection broke.
    static absl::StatusOr<event_stream> open(const core::address& where, const http_call& call);

    ~event_stream();
    event_stream(event_stream&&) noexcept;
    event_stream& operator=(event_stream&&) noexcept;
    event_stream(const event_stream&) = delete;
    event_stream& operator=(const event_stream&) = delete;

    /// HTTP status of the response.
    [[nodiscard]] unsigned status() const;

    /// The next event. Errors: OutOfRange after a complete response, Unavailable when the
    /// connection broke.
    [[nodiscard]] absl::StatusOr<sse_event> next();

private:
    explicit event_stream(std::unique_ptr<blocking_body> body);

    std::unique_ptr<blocking_body> body_;
    std::string unread_;
};

} // namespace ej::harness
