#include "operator_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <cstdint>
#include <random>
#include <utility>

namespace ej::commands {

namespace {

constexpr std::int64_t call_timeout_ms = 15'000;
constexpr std::int64_t connect_timeout_ms = 2'000;

std::string new_change_id()
{
    std::random_device entropy;
    return "operator-" + std::to_string(entropy()) + '-' + std::to_string(entropy());
}

} // namespace

operator_client::operator_client(core::address daemon, std::string key)
    : daemon_(std::move(daemon)), key_(std::move(key))
{
}

operator_reply operator_client::call(const std::string& method, const std::string& target,
                                     const std::string& body) const
{
    try {
        cxxtools::http::Client client(daemon_.host, daemon_.port);
        cxxtools::http::Request request(target);
        request.method(method);
        request.setHeader("Authorization", ("Bearer " + key_).c_str());
        request.setHeader("Change-Id", new_change_id().c_str());
        request.body() << body;
        const auto status = client
                                .execute(request, cxxtools::Milliseconds(call_timeout_ms),
                                         cxxtools::Milliseconds(connect_timeout_ms))
                                .httpReturnCode();
        return {status, client.readBody().body()};
    }
    catch (const std::exception& error) {
        return {0, to_string(daemon_) + ": " + error.what()};
    }
}

} // namespace ej::commands
