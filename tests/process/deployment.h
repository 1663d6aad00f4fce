#pragma once

#include <harness/fleet.h>
#include <harness/generation_caller.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::process_tests {

/// Engines "e1", "e2", ... and two daemons "d1" and "d2" in two failure domains, with a class
/// "summary" of generations. Ready when made.
class deployment {
public:
    /// Starts `engines` engines with `engine_flags`.
    explicit deployment(int engines, const std::vector<std::string>& engine_flags = {});

    [[nodiscard]] harness::fleet& fleet() { return fleet_; }
    [[nodiscard]] const std::vector<std::string>& engines() const { return engines_; }
    [[nodiscard]] const core::address& daemon(const std::string& name) const;

    /// Name of an engine that runs something now.
    [[nodiscard]] std::string running_engine() const;

    /// Sum of a counter over the engines that live.
    [[nodiscard]] std::uint64_t engine_total(const std::string& counter) const;

    /// Puts faults in force at every engine but `except`.
    void fault_others(const std::string& except, const nlohmann::json& faults);

private:
    harness::fleet fleet_;
    std::vector<std::string> engines_;
};

/// A call of class "summary" by workspace "wharf".
[[nodiscard]] harness::generation_call summary(const std::string& prompt, std::uint64_t tokens);

/// Requires that the whole answer to `call` has come and nothing else.
void require_whole(const harness::generation_caller& caller, const harness::generation_call& call);

} // namespace ej::process_tests
