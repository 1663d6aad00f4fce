#pragma once

#include <config/follower_settings.h>
#include <config/watch_tail.h>

#include <core/instant.h>
#include <core/revision.h>

#include <cstdint>

namespace ej::config {

/// When the platform's log is asked for, and from which key revision on. One ask is open at a
/// time; one that stays silent is replaced after the silence bound.
class watch_schedule {
public:
    watch_schedule(const follower_settings& settings, core::instant started);

    /// When the next ask is due.
    [[nodiscard]] core::instant due() const { return due_; }

    /// The next ask; answers to earlier ones no longer count as its own.
    [[nodiscard]] watch_tail next_watch(core::instant now);

    /// The ask numbered `ask` was answered.
    void answered(std::uint64_t ask, core::instant now);

    /// The ask numbered `ask` failed.
    void failed(std::uint64_t ask, core::instant now);

    /// The log must wait for the snapshot before it is asked for again.
    void await_snapshot(core::instant now);

    /// The snapshot has come.
    void snapshot_arrived(core::instant now);

    /// The log with `key` was dealt with.
    void followed(core::revision key);

private:
    core::duration silence_bound_;
    core::duration retry_delay_;
    core::duration verify_interval_;
    std::uint64_t ask_ = 0;
    core::instant due_;
    core::instant verify_due_; ///< Read plainly then.
    core::revision followed_key_;
};

} // namespace ej::config
