#pragma once

#include "daemon_fixture.h"

#include <fleet/endpoint_stand_in.h>
#include <fleet/step.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace ej::forward_tests {

/// Engines of service "llm" in the failure domains z0, z1 and z2. Each crashes, for a while, when
/// it runs the request whose body is `crashing_body`; others get one event.
class crashing_engines {
public:
    static constexpr int count = 9;
    static constexpr const char* crashing_body = "crashing";

    /// Registers the engines in the store of `fixture`, which must outlive the object. They crash
    /// after an event, or before the first.
    crashing_engines(daemon_fixture& fixture, bool after_output);

    /// Number of times that the crashing request reached an engine.
    [[nodiscard]] int runs() const { return runs_; }

private:
    [[nodiscard]] std::vector<fleet::step> answer(const std::string& request);
    void register_next(int number);

    daemon_fixture& fixture_;
    bool after_output_;
    std::atomic<int> runs_{0};
    std::atomic<int> starts_{0};
    std::vector<std::unique_ptr<fleet::endpoint_stand_in>> engines_;
};

} // namespace ej::forward_tests
