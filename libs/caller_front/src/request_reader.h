#pragma once

#include "caller_request.h"
#include "net.h"

#include <forwarding/caller_limits.h>

#include <core/instant.h>

#include <optional>

namespace ej::front {

/// Reads requests out of the bytes that a caller sends. Length and chunking together, lengths that
/// differ and anything else that endpoints might read otherwise are faults.
class request_reader {
public:
    /// How far the current request was read.
    enum class progress { header, body, complete, faulty };

    /// Where received bytes go.
    [[nodiscard]] beast::flat_buffer& buffer() { return buffer_; }

    /// Begins a request within `limits`.
    void begin(const forwarding::caller_limits& limits);

    /// Reads on in the buffer.
    [[nodiscard]] progress advance();

    /// The fault, after `progress::faulty`.
    [[nodiscard]] const error_code& fault() const { return fault_; }

    /// True once, when the caller waits for a word before it sends the body.
    [[nodiscard]] bool wants_continue();

    /// The request, after `progress::complete`.
    [[nodiscard]] caller_request take();

private:
    beast::flat_buffer buffer_;
    std::optional<wire::request_parser<wire::string_body>> parser_;
    error_code fault_;
    core::instant arrived_{};
    bool continued_ = false;
};

} // namespace ej::front
