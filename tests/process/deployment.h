#pragma once

#include <harness/fleet.h>
#include <harness/generation_caller.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::process_tests {

/// Engines "e1", ..., applications "a1", ... and daemons "d1" and "d2" in two failure domains.
/// Classes "summary" (generations), "berth" (idempotent) and "departure" (not idempotent).
class deployment {
public:
    /// Starts `engines` engines with `engine_flags`, and `applications` applications whose calls
    /// take 200 ms.
    explicit deployment(int engines, const std::vector<std::string>& engine_flags = {},
                        int applications = 0);

    [[nodiscard]] harness::fleet& fleet() { return fleet_; }
    [[nodiscard]] const std::vector<std::string>& engines() const { return engines_; }
    [[nodiscard]] const core::address& daemon(const std::string& name) const;

    /// Name of an engine that is running a generation. Fails the test if there is none.
    [[nodiscard]] std::string running_engine() const;

    /// Sum of a counter over the engines that respond.
    [[nodiscard]] std::uint64_t engine_total(const std::string& counter) const;

    [[nodiscard]] const std::vector<std::string>& applications() const { return applications_; }

    /// Number of calls with the idempotency key `key` that the applications ran.
    [[nodiscard]] std::uint64_t executions(const std::string& key) const;

    /// Returns once `application` runs a call with `key`. `key` must need no escaping in a path.
    void wait_until_executed(const std::string& application, const std::string& key) const;

    /// Injects `faults` into every engine except `except`.
    void inject_fault_except(const std::string& except, const nlohmann::json& faults);

private:
    harness::fleet fleet_;
    std::vector<std::string> engines_;
    std::vector<std::string> applications_;
};

/// A call of class "summary" from workspace "wharf".
[[nodiscard]] harness::generation_call summary(const std::string& prompt, std::uint64_t tokens);

/// Requires that the caller received exactly the whole answer to `call`.
void require_complete_answer(const harness::generation_caller& caller,
                             const harness::generation_call& call);

} // namespace ej::process_tests
