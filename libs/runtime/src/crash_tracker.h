#pragma once

#include "daemon_context.h"

#include <core/endpoint.h>
#include <suspects/request_digest.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace ej::runtime {

/// Tracks one generation's attempt at an engine: if the engine dies meanwhile, the request may have
/// crashed it. Used on one strand.
class crash_tracker {
public:
    crash_tracker(std::shared_ptr<daemon_context> shared, suspects::request_digest request);
    ~crash_tracker();
    crash_tracker(const crash_tracker&) = delete;
    crash_tracker& operator=(const crash_tracker&) = delete;
    crash_tracker(crash_tracker&&) = delete;
    crash_tracker& operator=(crash_tracker&&) = delete;

    /// True if the request may be sent to an engine. A suspect request runs at most once at a time
    /// at this daemon.
    bool may_run();

    /// Reports that the request is being sent to `engine`; `had_output`: it is resumed there.
    void begin(const core::endpoint& engine, bool had_output);

    /// Reports that the engine made output.
    void record_output();

    /// Reports that the engine did not accept the request.
    void end_attempt();

    /// Reports that the attempt was lost. If the engine accepts no connection, it has died: records
    /// the death and notifies the other daemons before the request is sent to another engine.
    boost::asio::awaitable<void> check_engine_after_loss();

    /// Reports that the complete response was delivered.
    void clear_suspicion();

private:
    void end_isolated();

    std::shared_ptr<daemon_context> shared_;
    suspects::request_digest request_;
    std::optional<core::endpoint> engine_; // Runs the request.
    bool isolated_ = false;
};

} // namespace ej::runtime
