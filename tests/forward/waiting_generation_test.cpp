#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::step;
using fleet::step_kind;

const std::string large_generation = "Endivejunction-Token-Usage: 45000,6000\r\n";
const std::string usual_generation = "Endivejunction-Token-Usage: 5000,780\r\n";

/// A change of the configuration while a generation waits.
struct change {
    std::string name;
    std::string route; ///< For generations; empty if it is removed.
    std::string key;
    bool engine_leaves = false;
};

std::string route_to(const std::string& service, int timeout_ms)
{
    return R"({"name":"long","host":"h.example","prefix":"/long/","kind":"streaming","timeoutMs":)" +
           std::to_string(timeout_ms) + R"(,"service":")" + service +
           R"(","maxAttempts":5,"sticky":true,"resumable":true,"gapAimMs":30000})";
}

std::string configuration(int version, const std::string& route, const std::string& key)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route +
           R"(],"services":[{"name":"llm","healthPath":"/h","maxConnections":50,"engine":)"
           R"({"slots":8,"kvTokens":55000,"backups":true,"stride":6}},{"name":"other",)"
           R"("healthPath":"/h","maxConnections":50}],"limits":{"maxHeaderBytes":4096,)"
           R"("maxBodyBytes":100000,"headerTimeoutMs":500,"idleTimeoutMs":1500},)"
           R"("tenants":[{"name":"pilots","apiKeys":[")" +
           key + R"("]}]})";
}

change any_change()
{
    return GENERATE(change{"the route is removed", "", "k1"},
                    change{"the route and its engines are removed", "", "k1", true},
                    change{"the route moves to another service", route_to("other", 60'000), "k1"},
                    change{"its timeout falls", route_to("llm", 1'000), "k1"},
                    change{"the key is revoked", route_to("llm", 60'000), "k2"});
}

std::string request_for(const std::string& id, const std::string& size)
{
    return "POST /long/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + id +
           "\r\nAuthorization: Token k1\r\n" + size + "Content-Length: 6\r\n\r\nprompt";
}

std::vector<step> begin_and_hold(const std::string& request, int)
{
    return {{step_kind::send, fleet::stream_head(request) + event_chunk(1)},
            {step_kind::hold, ""},
            {step_kind::send, event_chunk(2) + fleet::last_chunk()}};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A daemon whose only engine is full, and a generation that waits for it.
class full_engine {
public:
    full_engine()
    {
        fixture.add("i-1", "llm", engine);
        fixture.store.put("op/config", configuration(1, route_to("llm", 60'000), "k1"));
        fixture.start();
        REQUIRE(fixture.wait_for_endpoints(1));
        first = std::make_unique<caller>(fixture.listen_address());
        first->send(request_for("first", large_generation));
        REQUIRE(contains(first->read_until("word1"), "word1"));
        waiting = std::make_unique<caller>(fixture.listen_address());
        waiting->send(request_for("waits", usual_generation));
        wait_for_metric(R"(placements_total{step="wait"})");
    }

    /// Puts the changed configuration in force.
    void apply(const change& one)
    {
        fixture.store.put("op/config", configuration(2, one.route, one.key));
        wait_for_metric("configuration_version 2");
    }

    void wait_for_metric(const std::string& text) const
    {
        REQUIRE(daemon_fixture::wait_until([&] { return contains(fixture.metrics(), text); }));
    }

    daemon_fixture fixture;
    endpoint_stand_in engine{begin_and_hold};
    std::unique_ptr<caller> first;
    std::unique_ptr<caller> waiting;
};

} // namespace

TEST_CASE("a generation that waits for a place is answered whatever the configuration becomes")
{
    const auto one = any_change();
    INFO(one.name);
    full_engine scene;
    scene.apply(one);
    if (one.engine_leaves) {
        scene.fixture.store.remove("servers/i-1");
        CHECK(scene.waiting->read_answer().starts_with("HTTP/1.1 503"));
        scene.engine.release();
    }
    else {
        scene.engine.release();
        CHECK(scene.waiting->read_answer().ends_with("0\r\n\r\n"));
    }
    CHECK(scene.first->read_answer().ends_with("0\r\n\r\n"));
}

} // namespace ej::forward_tests
