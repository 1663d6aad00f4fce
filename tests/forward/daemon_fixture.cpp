#include "daemon_fixture.h"

#include "caller.h"

#include <adapter/site.h>

#include <stdexcept>
#include <thread>
#include <utility>

namespace ej::forward_tests {

namespace {

constexpr std::chrono::seconds longest_wait{20}; // Only bounds a hang.

std::string route(const std::string& prefix, const std::string& kind, const std::string& service,
                  int attempts, const std::string& more)
{
    return R"({"name":"r)" + prefix + R"(","host":"h.example","prefix":")" + prefix +
           R"(","kind":")" + kind + R"(","timeoutMs":2000,"targetLatencyMs":400,"priority":1,)" +
           R"("service":")" + service + R"(","maxAttempts":)" + std::to_string(attempts) + more +
           "}";
}

} // namespace

daemon_fixture::daemon_fixture()
{
    settings.vm = core::vm_id("vm-1");
    settings.domain = core::failure_domain_id("z1");
    settings.listen = settings.ready_listen = settings.peer_listen = {"127.0.0.1", 0};
    settings.store = store.address();
    settings.apply_within = std::chrono::milliseconds(100);
    settings.grace = std::chrono::seconds(6);
    settings.budget = {1, 100, std::chrono::seconds(10)};
}

void daemon_fixture::add(const std::string& name, const std::string& service,
                         const fleet::endpoint_stand_in& endpoint, const std::string& zone,
                         const std::string& state, long long born)
{
    store.put("servers/" + name,
              fleet::registration(service, endpoint.address(), zone, state, born));
}

void daemon_fixture::configure(int version, const std::string& more)
{
    store.put(
        "op/config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
            route("/act/", "non_idempotent", "app", 1, "") + "," +
            route("/read/", "idempotent", "app", 2, "") + "," +
            route("/open/", "idempotent", "app", 2, R"(,"public":true)") + "," +
            route("/gen/", "streaming", "llm", 5,
                  R"(,"sticky":true,"resumable":true,"gapAimMs":300)") +
            more +
            R"(],"services":[{"name":"app","healthPath":"/h","maxConnections":50},)"
            R"({"name":"llm","healthPath":"/h","maxConnections":50,"engine":{"slots":8,)"
            R"("kvTokens":55000,"backups":true,"stride":6}}],"limits":{"maxHeaderBytes":4096,)"
            R"("maxBodyBytes":100000,"headerTimeoutMs":500,"idleTimeoutMs":1500},)"
            R"("tenants":[{"name":"pilots","apiKeys":["k1"]}]})");
}

front::site daemon_fixture::platform_site()
{
    return adapter::make_site();
}

void daemon_fixture::start()
{
    auto started = front::front_daemon::start(settings, platform_site());
    if (!started.ok()) {
        throw std::runtime_error(std::string(started.status().message()));
    }
    daemon = *std::move(started);
    if (!wait_until([this] { return ready_status() == 200; })) {
        throw std::runtime_error("the daemon did not become ready");
    }
}

void daemon_fixture::configure_and_start(int endpoints)
{
    configure(1);
    start();
    if (!wait_for_endpoints(endpoints)) {
        throw std::runtime_error("the daemon did not get its endpoints");
    }
}

bool daemon_fixture::wait_until(const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + longest_wait;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

int daemon_fixture::ready_status() const
{
    caller connection(daemon->ready_address());
    connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = connection.read_answer();
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

std::string daemon_fixture::metrics() const
{
    caller connection(daemon->ready_address());
    connection.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    return connection.read_answer();
}

bool daemon_fixture::wait_for_endpoints(int count) const
{
    return wait_until([&] {
        return metrics().find("endivejunction_endpoints " + std::to_string(count) + "\n") !=
               std::string::npos;
    });
}

std::string request(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& body, const std::string& more)
{
    std::string text = method + " " + path +
                       " HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + id +
                       "\r\nAuthorization: Token k1\r\nEndivejunction-Deadline-Ms: 1900\r\n" + more;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace ej::forward_tests
