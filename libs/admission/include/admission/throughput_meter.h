#pragma once

#include <core/instant.h>

namespace ej::admission {

/// Measures which fraction of the endpoints' capacity a queue uses while requests wait in it. A
/// fraction stays valid when the capacity changes. Not thread-safe.
class throughput_meter {
public:
    /// Records that `work` left the queue.
    void add(double work) { work_ += work; }

    /// Records whether requests wait at `now`, and the capacity in work per second; must be called
    /// on each event of the queue.
    void advance(bool waiting, double capacity, core::instant now);

    /// Work per second at `capacity`; 0 until there are enough measurements.
    [[nodiscard]] double per_second(double capacity) const;

private:
    void restart(core::instant now);

    double work_ = 0;
    double capacity_fraction_ = 0;
    int windows_ = 0;
    core::instant window_start_{};
    core::instant last_waiting_{};
    bool waited_ = false;
};

} // namespace ej::admission
