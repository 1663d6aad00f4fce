#pragma once

#include <string_view>

namespace ej::front {

/// A call that waits for a place at an engine. Used on one lane.
class waiting_call {
public:
    waiting_call() = default;
    virtual ~waiting_call() = default;
    waiting_call(const waiting_call&) = delete;
    waiting_call& operator=(const waiting_call&) = delete;
    waiting_call(waiting_call&&) = delete;
    waiting_call& operator=(waiting_call&&) = delete;

    /// The call has the next free place of its service: it is sent, or ends. False if no engine has
    /// room for it.
    virtual bool take_turn() = 0;

    /// The daemon is leaving: the call ends if it would be cut at the daemon's end.
    virtual void review_wait() = 0;

    /// The call cannot wait any longer: it ends, for `reason`.
    virtual void leave(std::string_view reason) = 0;
};

} // namespace ej::front
