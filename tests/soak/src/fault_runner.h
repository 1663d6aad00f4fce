#pragma once

#include "call_log.h"
#include "crash_log.h"
#include "fault.h"
#include "loopback_proxy.h"
#include "notice_log.h"
#include "proxy_mode.h"
#include "soak_fleet.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ej::soak {

/// Injects the faults of a plan. Not thread-safe.
class fault_runner {
public:
    /// All arguments must outlive the runner.
    fault_runner(soak_fleet& system, call_log& calls, crash_log& crashes, notice_log& notices);

    /// Injects the faults of `plan`; returns when all of them have ended.
    void play(const std::vector<fault>& plan);

    /// Restarts processes that end, for `time`.
    void tend(std::chrono::milliseconds time);

    /// Returns when every process runs; to be called once nothing makes them end any more.
    void finish();

    /// Descriptions of processes that ended without a signal from the runner or with an error.
    [[nodiscard]] const std::vector<std::string>& unexpected_exits() const
    {
        return unexpected_exits_;
    }

private:
    using instant = std::chrono::steady_clock::time_point;
    using action = void (fault_runner::*)(const fault&);

    static action action_of(fault_kind kind);

    void kill_daemon(const fault& injected);
    void stop_daemon(const fault& injected);
    void pause_daemon(const fault& injected);
    void cut_store(const fault& injected);
    void delay_store(const fault& injected);
    void mute_store(const fault& injected);
    void reset_store(const fault& injected);
    void store_outage(const fault& injected);
    void drop_history(const fault& injected);
    void kill_endpoint(const fault& injected);
    void pause_endpoint(const fault& injected);
    void drain_endpoint(const fault& injected);
    void cut_endpoint(const fault& injected);
    void mute_endpoint(const fault& injected);
    void reset_endpoint(const fault& injected);
    void slow_endpoint(const fault& injected);
    void one_way_endpoint(const fault& injected);
    void change_configuration(const fault& injected);
    void reload_settings(const fault& injected);
    void leave_in_answers(const fault& injected);
    void ask_for_pause(const fault& injected);

    void add_outage(const daemon_outage& outage);

    /// Schedules `end` for the end of the fault.
    void schedule_end(const fault& injected, std::function<void()> end);
    /// Sets `proxy` to `mode` until the end of the fault.
    void set_mode_for_fault(loopback_proxy& proxy, proxy_mode mode, const fault& injected);
    /// Marks process `number` as busy, calls `begin` now and `end` at the end of the fault. Does
    /// nothing if another fault already holds the process.
    void hold_process(std::vector<bool>& busy, std::size_t number, const fault& injected,
                      const std::function<void()>& begin, std::function<void()> end);
    void restart(std::size_t daemon);
    void run_due_ends_until(instant until);
    void check_daemons();
    void check_endpoints();

    soak_fleet& system_;
    call_log& calls_;
    crash_log& crashes_;
    notice_log& notices_;
    instant start_;
    std::multimap<instant, std::function<void()>> due_;
    std::vector<bool> daemon_busy_;
    std::vector<bool> endpoint_busy_;
    std::vector<std::string> unexpected_exits_;
};

} // namespace ej::soak
