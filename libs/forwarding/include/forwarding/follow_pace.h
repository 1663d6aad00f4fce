#pragma once

#include <core/instant.h>

#include <cstddef>

namespace ej::forwarding {

/// When a daemon asks the store for changes. The daemons of a failure domain are ranked: the first
/// asks often and tells the others, each further one steps in when it has heard nothing for longer.
/// A daemon that hears of nobody asks in time to apply changes by itself. Not thread-safe.
class follow_pace {
public:
    /// Changes are to be in force within `apply_within`; > 0.
    explicit follow_pace(core::duration apply_within);

    /// This daemon's place among those of its failure domain, from 0.
    void set_rank(std::size_t rank) { rank_ = rank; }

    /// The store was asked.
    void asked(core::instant now);

    /// What is known is the store's state of `now`.
    void fresh(core::instant now);

    /// Something changed that is known only to the store.
    void hasten() { poll_soon_ = true; }

    /// When the store is to be asked next.
    [[nodiscard]] core::instant due() const;

    /// Shortest time between two questions.
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
