#pragma once

#include <core/finding.h>

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace ej::core {

/// Collects every fault of one input, so that they are reported together.
class findings {
public:
    /// Adds a fault at `place`.
    void add(std::string place, std::string message);

    /// Adds all faults of `other`, with `prefix` put before their places.
    void add_all(const std::string& prefix, const findings& other);

    /// True if no fault was added.
    [[nodiscard]] bool empty() const { return list_.empty(); }

    /// The faults in the order found.
    [[nodiscard]] const std::vector<finding>& list() const { return list_; }

    /// OK when empty; else InvalidArgument with a line per fault.
    [[nodiscard]] absl::Status status() const;

private:
    std::vector<finding> list_;
};

} // namespace ej::core
