#pragma once

#include <config/follower_settings.h>
#include <config/watch_change_log.h>

#include <core/instant.h>
#include <core/revision.h>

#include <cstdint>

namespace ej::config {

/// Determines when to watch the platform's log, and from which key revision on. One watch is open
/// at a time; a watch without an answer is replaced after `watch_timeout`.
class watch_schedule {
public:
    watch_schedule(const follower_settings& settings, core::instant started);

    /// When the next watch is due.
    [[nodiscard]] core::instant due() const { return due_; }

    /// The next watch; answers to earlier watches no longer change the schedule.
    [[nodiscard]] watch_change_log next_watch(core::instant now);

    /// Records that the watch numbered `watch_number` was answered.
    void answered(std::uint64_t watch_number, core::instant now);

    /// Records that the watch numbered `watch_number` failed.
    void failed(std::uint64_t watch_number, core::instant now);

    /// Delays the next watch until the snapshot has arrived or `watch_timeout` has passed.
    void await_snapshot(core::instant now);

    /// Records that the snapshot has arrived.
    void snapshot_arrived(core::instant now);

    /// Records that the log with the key revision `key` was processed.
    void followed(core::revision key);

private:
    core::duration watch_timeout_;
    core::duration retry_delay_;
    core::duration verify_interval_;
    std::uint64_t watch_number_ = 0;
    core::instant due_;
    core::instant verify_due_; ///< When the log is read regardless of its key revision.
    core::revision followed_key_;
};

} // namespace ej::config
