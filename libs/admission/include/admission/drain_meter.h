#pragma once

#include <core/instant.h>

namespace ej::admission {

/// Measures how fast work leaves a queue while requests wait in it. Not thread-safe.
class drain_meter {
public:
    /// Notes that `work` left the queue at `now`.
    void add(double work) { work_ += work; }

    /// Notes whether requests wait at `now`; called with each event of the queue.
    void advance(bool waiting, core::instant now);

    /// Work per second; 0 when nothing has waited for long enough.
    [[nodiscard]] double per_second() const { return rate_; }

private:
    void restart(core::instant now);

    double work_ = 0;
    double rate_ = 0;
    core::instant window_start_{};
    core::instant last_waiting_{};
    bool waited_ = false;
};

} // namespace ej::admission
