#pragma once

#include <forwarding/attempt_end.h>

#include <string>

namespace ej::front {

class upstream_attempt;

/// Receives the progress of an attempt, on the attempt's lane.
class attempt_listener {
public:
    attempt_listener() = default;
    virtual ~attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    attempt_listener(attempt_listener&&) = delete;
    attempt_listener& operator=(attempt_listener&&) = delete;

    /// The request is sent now; also called from within `upstream_attempt::start`.
    virtual void on_sent(upstream_attempt& attempt) = 0;

    /// True if the request of `attempt` may be sent now, over a connection that was established for
    /// it.
    [[nodiscard]] virtual bool may_send(const upstream_attempt& attempt) const = 0;

    /// True if the request may be sent again once its connection is lost.
    [[nodiscard]] virtual bool may_be_repeated() const = 0;

    /// The answer's header was read.
    virtual void on_head(upstream_attempt& attempt) = 0;

    /// A part of the body was read.
    virtual void on_body(upstream_attempt& attempt, std::string part) = 0;

    /// The answer is complete.
    virtual void on_complete(upstream_attempt& attempt) = 0;

    /// The attempt ended without a complete answer.
    virtual void on_end(upstream_attempt& attempt, forwarding::attempt_end end,
                        const std::string& detail) = 0;
};

} // namespace ej::front
