#pragma once

#include <harness/fleet.h>

#include <core/address.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::demo {

/// Three failure domains, each with two daemons, two engines of differing speed and an application.
class demo_fleet {
public:
    /// Starts all of it.
    demo_fleet();

    [[nodiscard]] harness::fleet& processes() { return processes_; }

    /// The daemons' addresses for callers, beginning with the one at `first`.
    [[nodiscard]] std::vector<core::address> daemons_from(std::size_t first) const;

    /// Where operators reach the daemons that live.
    [[nodiscard]] std::vector<core::address> operators() const;

    /// Name of the engine that runs most now.
    [[nodiscard]] std::string busiest_engine() const;

    /// Sum of a counter over the engines that live.
    [[nodiscard]] std::uint64_t engine_total(const std::string& counter) const;

    /// Calls that the applications ran.
    [[nodiscard]] std::uint64_t executions() const;

private:
    harness::fleet processes_;
    std::vector<std::string> daemons_;
    std::vector<std::string> engines_;
    std::vector<std::string> applications_;
};

} // namespace ej::demo
