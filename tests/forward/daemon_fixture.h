#pragma once

#include <caller_front/front_daemon.h>
#include <caller_front/front_settings.h>
#include <caller_front/site.h>
#include <fleet/endpoint_stand_in.h>
#include <fleet/store_stand_in.h>

#include <core/address.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace ej::forward_tests {

/// Runs a daemon with a store stand-in in this process; tests add endpoints. The configuration has
/// the routes /act/ (non-idempotent), /read/ (idempotent, two attempts), /gen/ (resumable stream,
/// five attempts) and /open/ (idempotent, no API key). /gen/ uses service "llm", the others "app".
class daemon_fixture {
public:
    daemon_fixture();

    /// Registers `endpoint` as `name`.
    void add(const std::string& name, const std::string& service,
             const fleet::endpoint_stand_in& endpoint, const std::string& zone = "z1",
             const std::string& state = "ready", long long born = 1);

    /// Writes the configuration with `version`; `more` holds further routes, each after a comma.
    void configure(int version, const std::string& more = {});

    /// The site of the platform adapter under test.
    [[nodiscard]] static front::site platform_site();

    /// Starts the daemon and waits until it is ready.
    void start();

    /// Writes configuration 1, starts the daemon and waits until it has `endpoints` endpoints.
    void configure_and_start(int endpoints);

    /// Waits until `done` returns true; false after 20 s.
    static bool wait_until(const std::function<bool()>& done);

    /// The HTTP status of the daemon's readiness check; 0 without an answer.
    [[nodiscard]] int ready_status() const;

    /// The answer to GET /metrics.
    [[nodiscard]] std::string metrics() const;

    /// Waits until the daemon's metrics count `count` endpoints; false after 20 s.
    [[nodiscard]] bool wait_for_endpoints(int count) const;

    [[nodiscard]] core::address listen_address() const { return daemon->caller_address(); }

    fleet::store_stand_in store;
    front::front_settings settings;
    std::unique_ptr<front::front_daemon> daemon;
};

/// The text of a request with id `id` and a valid API key; `more` holds further header lines.
[[nodiscard]] std::string request(const std::string& method, const std::string& path,
                                  const std::string& id, const std::string& body = {},
                                  const std::string& more = {});

} // namespace ej::forward_tests
