#pragma once

#include "short_call.h"

#include <http/response.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// Runs the short calls of one kind of class. Thread-safe.
class short_call_runner {
public:
    short_call_runner() = default;
    virtual ~short_call_runner() = default;
    short_call_runner(const short_call_runner&) = delete;
    short_call_runner& operator=(const short_call_runner&) = delete;
    short_call_runner(short_call_runner&&) = delete;
    short_call_runner& operator=(short_call_runner&&) = delete;

    /// True if the runner also gets calls while the daemon drains, because only the runner can
    /// decide whether a call with the same key has run.
    [[nodiscard]] virtual bool accepts_while_draining() const { return false; }

    /// Returns the response to the caller: done, refused (did not run), outcome unknown, or failed.
    virtual boost::asio::awaitable<http::response> run(short_call call) = 0;
};

} // namespace ej::runtime
