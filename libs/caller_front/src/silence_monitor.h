#pragma once

#include "lazy_timer.h"
#include "liveness_check.h"
#include "silence_report.h"
#include "upstream_pool.h"

#include <forwarding/silence_timeouts.h>

#include <core/address.h>
#include <core/instant.h>

#include <functional>
#include <memory>

namespace ej::front {

/// Monitors an engine that is expected to send. After a period of silence a liveness check opens a
/// new connection to it; if that fails, or after the maximum silence, the engine may be lost. Used
/// on one lane.
class silence_monitor : public std::enable_shared_from_this<silence_monitor> {
public:
    using lost_callback = std::function<void(const silence_report&)>;

    /// True if a liveness check of the engine may be made now.
    using check_condition = std::function<bool()>;

    /// `pool` outlives the monitor. `on_lost` is called when the engine may be lost, again and
    /// again until it sends or the monitor is stopped.
    silence_monitor(
        upstream_pool& pool, lost_callback on_lost,
        check_condition may_check = [] { return true; });

    /// Starts to monitor the engine at `where`.
    void begin(core::address where, const forwarding::silence_timeouts& bounds);

    /// Records output of the engine, which need not be monitored; `bounds` apply from now on.
    void note_output(const forwarding::silence_timeouts& bounds);

    /// Stops monitoring until the next `begin`.
    void stop();

    /// Time of the engine's last output.
    [[nodiscard]] core::instant last_output() const { return last_output_; }

private:
    void check_silence();
    void begin_check(core::duration timer_late);
    void set_timer(core::instant due);
    void report_lost(const char* detail, core::duration timer_late);

    upstream_pool& pool_;
    lost_callback on_lost_;
    check_condition may_check_;
    core::address where_;
    forwarding::silence_timeouts bounds_;
    core::instant last_output_{};
    core::instant due_{};   // Of `timer_`.
    bool reachable_ = true; // As far as the latest check since that output has shown.
    std::shared_ptr<lazy_timer> timer_;
    std::shared_ptr<liveness_check> check_;
};

} // namespace ej::front
