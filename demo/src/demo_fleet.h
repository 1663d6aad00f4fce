#pragma once

#include <harness/fleet.h>

#include <core/address.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::demo {

/// Three failure domains, each with two daemons, two engines of different speed and an application.
class demo_fleet {
public:
    /// Starts all processes.
    demo_fleet();

    [[nodiscard]] harness::fleet& processes() { return processes_; }

    /// The daemons' addresses for callers, rotated so that the daemon with index `first` is first.
    [[nodiscard]] std::vector<core::address> daemons_from(std::size_t first) const;

    /// Operator addresses of the running daemons.
    [[nodiscard]] std::vector<core::address> operators() const;

    /// Name of the engine with the most running generations.
    [[nodiscard]] std::string busiest_engine() const;

    /// Sum of a counter over the running engines.
    [[nodiscard]] std::uint64_t engine_total(const std::string& counter) const;

    /// Number of calls that the applications executed.
    [[nodiscard]] std::uint64_t executions() const;

private:
    harness::fleet processes_;
    std::vector<std::string> daemons_;
    std::vector<std::string> engines_;
    std::vector<std::string> applications_;
};

} // namespace ej::demo
