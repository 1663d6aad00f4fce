#pragma once

#include <metrics/label.h>

#include <core/instant.h>

#include <memory>
#include <string>
#include <vector>

namespace ej::metrics {

/// Counters, gauges and histograms of the process, exported in the Prometheus text format.
/// Thread-safe. Metric names are given without the prefix "endivejunction_".
class registry {
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;
    registry(registry&&) = delete;
    registry& operator=(registry&&) = delete;

    /// Adds `by` to the counter `name` with `labels`.
    void count(const std::string& name, const std::vector<label>& labels, double by = 1);

    /// Sets the gauge `name` with `labels`.
    void set(const std::string& name, const std::vector<label>& labels, double value);

    /// Adds `time`, in seconds, to the histogram `name`; its buckets range from 1 ms to 60 s.
    void observe(const std::string& name, const std::vector<label>& labels, core::duration time);

    /// All metrics in the text format.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace ej::metrics
