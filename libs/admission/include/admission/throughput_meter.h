#pragma once

#include <core/instant.h>

namespace ej::admission {

/// Measures which part of the endpoints' capacity a queue gets while requests wait in it. Taken as
/// a part, it holds when the capacity changes. Not thread-safe.
class throughput_meter {
public:
    /// Notes that `work` left the queue.
    void add(double work) { work_ += work; }

    /// Notes whether requests wait at `now` and the capacity in work per second; called with each
    /// event of the queue.
    void advance(bool waiting, double capacity, core::instant now);

    /// Work per second at `capacity`; 0 until enough was measured.
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
