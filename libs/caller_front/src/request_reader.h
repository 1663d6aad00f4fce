#pragma once

#include "caller_request.h"
#include "net.h"
#include "request_fault.h"
#include "request_parser.h"

#include <forwarding/caller_limits.h>

#include <core/instant.h>
#include <http/framing_check.h>

#include <optional>

namespace ej::front {

/// Parses requests from the bytes that a caller sends. Anything that an endpoint might parse
/// differently is a fault, see `http::framing_check`. Trailer fields are discarded.
class request_reader {
public:
    /// Parsing state of the current request.
    enum class progress { header, body, complete, faulty };

    /// Buffer for received bytes.
    [[nodiscard]] beast::flat_buffer& buffer() { return buffer_; }
    [[nodiscard]] const beast::flat_buffer& buffer() const { return buffer_; }

    /// Starts a new request with these limits.
    void begin(const forwarding::caller_limits& limits);

    /// Parses what is in the buffer.
    [[nodiscard]] progress advance();

    /// The fault, after `progress::faulty`.
    [[nodiscard]] request_fault fault() const { return fault_; }

    /// True once per request, when the caller waits for 100 Continue before it sends the body.
    [[nodiscard]] bool wants_continue();

    /// The request, after `progress::complete`.
    [[nodiscard]] caller_request take();

    /// Frees what was received of the current request.
    void discard() { parser_.reset(); }

    /// Bytes allocated for received bytes and for the current request.
    [[nodiscard]] std::size_t allocated() const;

private:
    [[nodiscard]] progress fail(request_fault fault);
    void take_header();

    beast::flat_buffer buffer_;
    http::framing_check check_;
    std::size_t max_unparsed_bytes_ = 0;
    std::optional<request_parser> parser_;
    request_fault fault_ = request_fault::malformed;
    caller_request request_; // Without its message until it is complete.
    bool waits_for_continue_ = false;
};

} // namespace ej::front
