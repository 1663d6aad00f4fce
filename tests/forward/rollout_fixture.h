#pragma once

#include "daemon_fixture.h"

#include <fleet/endpoint_stand_in.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ej::forward_tests {

/// A daemon before three endpoints of service "app" with version v1 and three with version v2,
/// which fail when they are told to.
class rollout_fixture {
public:
    static constexpr int endpoints_per_version = 3;

    rollout_fixture();

    /// Writes the order of a roll-out to v2 within `seconds`.
    void order(int seconds = 4);

    /// From now on, each answer of v2 is a failure.
    void break_target() { broken_ = true; }

    /// Sends requests one after the other until `done` returns true; false after 20 s. Counts those
    /// that got no success.
    bool call_until(const std::function<bool()>& done);

    /// The state in the status that operators read; empty without a status.
    [[nodiscard]] std::string status();

    /// Calls until the status is `state`; false after 20 s.
    bool call_until_status(const std::string& state);

    /// Number of requests that reached endpoints of v2, or of v1.
    [[nodiscard]] int arrivals(bool at_target) const;

    [[nodiscard]] int failures() const { return failures_; }

    daemon_fixture fixture;

private:
    struct endpoint {
        bool is_target = false;
        std::unique_ptr<fleet::endpoint_stand_in> stand_in;
    };

    [[nodiscard]] std::vector<fleet::step> answer(bool is_target, const std::string& request);

    std::atomic<bool> broken_{false};
    std::vector<endpoint> endpoints_;
    int calls_ = 0;
    int failures_ = 0;
};

} // namespace ej::forward_tests
