#pragma once

#include <core/instant.h>

#include <cstddef>

namespace ej::forwarding {

/// Schedules a daemon's polls of the store for changes. The daemons of a failure domain are ranked:
/// the first polls often and sends the result to the others; each further one polls only after a
/// longer time without news. A daemon that receives nothing from others still polls early enough to
/// apply changes in time. Not thread-safe.
class store_poll_schedule {
public:
    /// Changes must take effect within `apply_within`; > 0.
    explicit store_poll_schedule(core::duration apply_within);

    /// Sets this daemon's rank in its failure domain, from 0.
    void set_rank(std::size_t rank) { rank_ = rank; }

    /// Records that a poll was sent.
    void record_poll(core::instant now);

    /// Records that the local state equals the store's state at `now`.
    void record_up_to_date(core::instant now);

    /// Requests an early poll: there are changes that only the store can supply.
    void request_early_poll() { poll_soon_ = true; }

    /// Time of the next poll.
    [[nodiscard]] core::instant next_poll() const;

    /// Shortest time between two polls.
    [[nodiscard]] core::duration interval() const { return interval_; }

private:
    core::duration interval_;
    core::duration max_interval_;
    std::size_t rank_ = 0;
    bool poll_soon_ = false;
    core::instant last_poll_{};
    core::instant up_to_date_at_{};
};

} // namespace ej::forwarding
