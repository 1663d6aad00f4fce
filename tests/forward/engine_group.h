#pragma once

#include "daemon_fixture.h"

#include <fleet/endpoint_stand_in.h>
#include <fleet/step.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace ej::forward_tests {

/// Engines of service "llm", two in each of the failure domains z1, z2 and z3. An engine crashes
/// when it begins the output of a request whose prompt has a crashing part, and is back later as a
/// new incarnation under a new name.
class engine_group {
public:
    static constexpr int count = 6;

    /// Registers the engines in the store of `fixture`, which must outlive the group. Each request
    /// waits for `read_time` before its output.
    explicit engine_group(daemon_fixture& fixture, std::set<std::string> crashing_parts = {},
                          std::chrono::milliseconds read_time = std::chrono::milliseconds(20));

    /// From now on, requests do not wait before their output.
    void answer_at_once() { read_time_ = std::chrono::milliseconds(0); }

    /// From now on, engines that crash send the head of an answer without a length first.
    void send_heads_before_crashes() { heads_before_crashes_ = true; }

    /// The events that answer a request.
    [[nodiscard]] static std::string whole_stream();

    /// Crashes the engines of `domain`, whatever they run.
    void crash_domain(const std::string& domain);

    /// Removes the engines from the store; they go on running.
    void unregister();

    /// Registers the engines again under the same names.
    void register_again();

    /// Waits until every engine is back and registered; false after 20 s.
    [[nodiscard]] bool wait_until_back() const;

    /// Number of times that a request with the prompt part `id` reached an engine.
    [[nodiscard]] int arrivals_with_part(const std::string& id) const;

    /// Number of times that the request `id` reached an engine.
    [[nodiscard]] int arrivals_of(const std::string& id) const;

    /// Number of requests that reached engines.
    [[nodiscard]] int arrivals() const;

private:
    struct engine {
        std::string domain;
        int incarnation = 0;
        std::unique_ptr<fleet::endpoint_stand_in> endpoint;
    };

    [[nodiscard]] static std::string name_of(std::size_t number, int incarnation);
    [[nodiscard]] std::vector<fleet::step> answer(std::size_t number, const std::string& request);
    [[nodiscard]] bool crashes_on(const std::string& request) const;
    void register_next(std::size_t number);

    daemon_fixture& fixture_;
    std::set<std::string> crashing_parts_;
    std::atomic<std::chrono::milliseconds> read_time_;
    std::atomic<bool> heads_before_crashes_{false};
    mutable std::mutex mutex_;
    std::vector<std::string> run_;
    std::vector<engine> engines_;
};

} // namespace ej::forward_tests
