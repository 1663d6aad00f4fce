#pragma once

#include <string>

namespace review {

inline constexpr const char* api_key = "key-of-tenant-one";

/// A configuration with one tenant and the given lists of routes and services as JSON.
inline std::string config_text(const std::string& routes, const std::string& services)
{
    return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + services +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":[")" +
           api_key + R"("],"priority":1}]})";
}

/// A route for `prefix` to `service`; `more` begins with a comma.
inline std::string route_text(const std::string& name, const std::string& kind,
                              const std::string& service, int timeout_ms, int target_ms,
                              int attempts, const std::string& more = {})
{
    return R"({"name":")" + name + R"(","host":"review.example","prefix":"/)" + name +
           R"(/","kind":")" + kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) +
           R"(,"targetLatencyMs":)" + std::to_string(target_ms) + R"(,"priority":1,"service":")" +
           service + R"(","maxAttempts":)" + std::to_string(attempts) + R"(,"public":false)" +
           more + "}";
}

inline std::string service_text(const std::string& name)
{
    return R"({"name":")" + name +
           R"(","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false})";
}

} // namespace review
