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

/// A daemon before a store and endpoints, all in this process. The configuration has the routes
/// /act/ (non-idempotent), /read/ (idempotent, two attempts), /gen/ (resumable stream, five
/// attempts) and /open/ (idempotent, no key), all of service "app" but /gen/ ("llm").
class daemon_fixture {
public:
    daemon_fixture();

    /// Registers `endpoint` as `name`.
    void add(const std::string& name, const std::string& service,
             const fleet::endpoint_stand_in& endpoint, const std::string& zone = "z1",
             const std::string& state = "ready", long long born = 1);

    /// Writes a configuration with `version`; `more` are further routes, each with a comma before.
    void configure(int version, const std::string& more = {});

    /// The platform.
    [[nodiscard]] static front::site platform_site();

    /// Starts the daemon and waits until it is ready.
    void start();

    /// Configures and starts the daemon and waits until it knows `endpoints` of them.
    void configure_and_start(int endpoints);

    /// Waits until `done` holds; false after a long time.
    static bool wait_until(const std::function<bool()>& done);

    /// The balancer's question: the status.
    [[nodiscard]] int ready_status() const;

    /// The metrics as text.
    [[nodiscard]] std::string metrics() const;

    /// True once the daemon has applied everything that the store holds.
    [[nodiscard]] bool wait_for_endpoints(int count) const;

    [[nodiscard]] core::address listen_address() const { return daemon->caller_address(); }

    fleet::store_stand_in store;
    front::front_settings settings;
    std::unique_ptr<front::front_daemon> daemon;
};

/// A request with id `id` and a key.
[[nodiscard]] std::string request(const std::string& method, const std::string& path,
                                  const std::string& id, const std::string& body = {},
                                  const std::string& more = {});

} // namespace ej::forward_tests
