#pragma once

#include <http/header.h>
#include <http/response.h>

#include <string>
#include <vector>

namespace ej::front {

/// Receives the answer to one caller's request, on the caller's lane: `reply`, or `start_stream`,
/// any number of `write`, then `finish` or `abort`.
class reply_sink {
public:
    reply_sink() = default;
    virtual ~reply_sink() = default;
    reply_sink(const reply_sink&) = delete;
    reply_sink& operator=(const reply_sink&) = delete;
    reply_sink(reply_sink&&) = delete;
    reply_sink& operator=(reply_sink&&) = delete;

    /// Sends a complete answer.
    virtual void reply(const http::response& answer) = 0;

    /// Sends the header of a streamed answer.
    virtual void start_stream(const http::response& head) = 0;

    /// Sends a part of a streamed answer.
    virtual void write(const std::string& part) = 0;

    /// Ends a streamed answer as complete.
    virtual void finish() = 0;

    /// Closes the connection, so that the caller sees an incomplete answer.
    virtual void abort() = 0;
};

} // namespace ej::front
