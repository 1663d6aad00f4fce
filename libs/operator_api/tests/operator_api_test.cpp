#include <operator_api/operator_routes.h>
#include <operator_api/operator_server.h>

#include <config/apply.h>

#include <catch2/catch.hpp>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>

namespace ej::operator_api {

namespace {

/// A daemon that accepts a change if its expected revision is the current one of the object.
class fake_backend : public operator_backend {
public:
    bool ready() override { return !draining; }
    daemon_status status() override
    {
        daemon_status status;
        status.vm = core::vm_id("vm1");
        status.draining = draining;
        return status;
    }
    std::string metrics_text() override { return "up 1\n"; }
    config::change_id new_change_id() override { return config::change_id("new"); }
    bool restore_platform() override { return false; }
    void drain() override { draining = true; }

    config::configuration configuration_in_force() override
    {
        const std::scoped_lock lock(mutex_);
        return in_force_;
    }

    config::submission_result submit(config::change wanted) override
    {
        const std::scoped_lock lock(mutex_);
        const core::revision present = revision_of(in_force_, wanted.what);
        if (present != wanted.expected) {
            return {config::submission_outcome::conflict, present, {}, in_force_, {}};
        }
        const core::revision next = in_force_.revision().next();
        in_force_ = apply(in_force_, {next, wanted});
        return {config::submission_outcome::accepted, next, {}, in_force_, {}};
    }

    std::atomic<bool> draining = false;

private:
    std::mutex mutex_;
    config::configuration in_force_;
};

operator_request request(std::string method, std::string path, std::string query = {},
                         std::string body = {})
{
    return {std::move(method), std::move(path), std::move(query), "secret", "", std::move(body)};
}

} // namespace

TEST_CASE("routes that need the operator key reject every other key")
{
    fake_backend backend;
    const operator_routes routes(backend, operator_key("secret"));
    const auto refused = [&](const char* path) {
        return std::ranges::all_of(
            std::array{"", "secre", "secret ", "SECRET"}, [&](const char* key) {
                return routes.answer({"GET", path, "", key, "", ""}).status == 401;
            });
    };
    CHECK(std::ranges::all_of(
        std::array{"/status", "/classes", "/classes/a", "/workspaces", "/workspaces/a"}, refused));
    CHECK(routes.answer({"POST", "/drain", "", "", "", ""}).status == 401);
    CHECK_FALSE(backend.draining);
    CHECK(routes.answer({"GET", "/healthz", "", "", "", ""}).status == 200);
    CHECK_FALSE(operator_key("").matches(""));
}

TEST_CASE(
    "a change with an outdated if_revision gets a conflict with the object's current revision")
{
    fake_backend backend;
    const operator_routes routes(backend, operator_key("secret"));
    const std::string body = R"({"kind":"generation","service":"m","target":{"finish_ms":9}})";
    CHECK(routes.answer(request("PUT", "/classes/a", "", body)).status == 428);
    CHECK(routes.answer(request("PUT", "/classes/a", "if_revision=0", "{")).status == 400);
    CHECK(routes.answer(request("PUT", "/classes/a", "if_revision=0", body)) ==
          operator_response{200, R"({"revision":1})"});
    CHECK(routes.answer(request("PUT", "/classes/a", "if_revision=0", body)) ==
          operator_response{409, R"({"error":"conflict","findings":[],"revision":1})"});
    CHECK(
        routes.answer(request("PUT", "/classes/a", "if_revision=1", R"({"service":"n"})")).status ==
        200);
    const auto classes = backend.configuration_in_force().classes();
    const auto& changed = classes.at(core::class_id("a")).value;
    CHECK(changed.service == core::service_id("n"));
    CHECK(changed.target.finish == std::chrono::milliseconds(9));
    CHECK(routes.answer(request("DELETE", "/classes/a", "if_revision=2")).status == 200);
    CHECK(routes.answer(request("GET", "/classes/a")).status == 404);
    CHECK(routes.answer(request("POST", "/classes/a")).status == 405);
}

TEST_CASE("the HTTP server answers requests and rejects a body that is too large")
{
    fake_backend backend;
    const auto server = operator_server::start({"127.0.0.1", 0}, backend, "secret").value();
    cxxtools::http::Client client(server->local().host, server->local().port);
    CHECK(client.get("/readyz").httpReturnCode() == 200);
    cxxtools::http::Request put("/workspaces/trawlers?if_revision=0");
    put.method("PUT");
    put.setHeader("Authorization", "Bearer secret");
    put.body() << R"({"share_ppm":5})";
    client.execute(put);
    CHECK(client.readBody().body() == R"({"revision":1})");
    put.body() << std::string(100'000, ' ');
    CHECK(client.execute(put).httpReturnCode() == 413);
}

} // namespace ej::operator_api
