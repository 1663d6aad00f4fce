#pragma once

#include "services.h"

#include <core/endpoint.h>
#include <suspects/request_digest.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace ej::runtime {

/// One generation's attempt at an engine until its first output: if the engine dies meanwhile, the
/// request may be what killed it. Used on one strand.
class crash_tracker {
public:
    crash_tracker(std::shared_ptr<services> shared, suspects::request_digest request);
    ~crash_tracker();
    crash_tracker(const crash_tracker&) = delete;
    crash_tracker& operator=(const crash_tracker&) = delete;
    crash_tracker(crash_tracker&&) = delete;
    crash_tracker& operator=(crash_tracker&&) = delete;

    /// True if the request may be sent to an engine. A suspect runs once at a time here.
    bool may_run();

    /// The request is being sent to `engine`.
    void begin(const core::endpoint& engine);

    /// The engine made output, or did not take the request.
    void end_attempt();

    /// The attempt was lost. An engine that takes no connection has died: notes the death and tells
    /// the other daemons before the request goes anywhere else.
    boost::asio::awaitable<void> check_engine_after_loss();

    /// The whole answer was delivered.
    void clear_suspicion();

private:
    void end_isolated();

    std::shared_ptr<services> shared_;
    suspects::request_digest request_;
    std::optional<core::endpoint> engine_; // Where it runs without output.
    bool isolated_ = false;
};

} // namespace ej::runtime
