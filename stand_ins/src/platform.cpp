#include "platform.h"

#include "dispatch.h"
#include "json_reply.h"
#include "pause.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <array>

namespace ej::stand_ins {

namespace {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t value_limit_bytes = 1U << 20;
constexpr std::string_view kv_path = "/kv/";
constexpr std::string_view lease_path = "/leases/";
constexpr std::string_view vm_path = "/vms/";

std::string rest_of_path(const exchange& call, std::string_view prefix)
{
    return call.request().path.substr(prefix.size());
}

std::uint64_t number_parameter(const exchange& call, const std::string& name)
{
    const auto text = call.request().parameter(name, "0");
    return std::strtoull(text.c_str(), nullptr, 10);
}

http_reply revision_reply(unsigned status, std::uint64_t revision)
{
    return json_reply(status, nlohmann::json{{"revision", revision}});
}

http_reply key_reply(const kv_version& found, std::uint64_t absent_revision)
{
    if (found.absent) {
        return revision_reply(404, absent_revision);
    }
    return json_reply(200, nlohmann::json{{"value", found.value}, {"revision", found.revision}});
}

nlohmann::json entries_json(const std::map<std::string, kv_version>& found)
{
    auto entries = nlohmann::json::array();
    for (const auto& [key, version] : found) {
        entries.push_back({{"key", key}, {"value", version.value}, {"revision", version.revision}});
    }
    return {{"entries", entries}};
}

} // namespace

platform::platform(const boost::asio::any_io_executor& executor, const options& settings,
                   const std::string& /*incarnation*/, std::shared_ptr<fault_control> control)
    : executor_(executor), settings_(settings), control_(std::move(control))
{
}

boost::asio::awaitable<answer> platform::handle(exchange& call)
{
    static constexpr std::array<route<platform>, 9> routes{
        {{"GET", "/kv", &platform::list_keys},
         {"GET", kv_path, &platform::read_key},
         {"PUT", kv_path, &platform::write_key},
         {"DELETE", kv_path, &platform::erase_key},
         {"POST", "/leases", &platform::grant_lease},
         {"PUT", lease_path, &platform::renew_lease},
         {"GET", "/vms", &platform::list_vms},
         {"POST", "/vms", &platform::put_vm},
         {"DELETE", vm_path, &platform::erase_vm}}};
    const double latency_ms = settings_.latency_ms * control_->current()->slow;
    if (latency_ms > 0) {
        co_await pause(milliseconds(latency_ms));
    }
    calls_.add("calls");
    co_return co_await dispatch(*this, routes, call);
}

nlohmann::json platform::stats()
{
    auto all = calls_.to_json();
    all["revision"] = store_.revision();
    return all;
}

void platform::apply_faults(const nlohmann::json& body)
{
    if (body.contains("rewind_to")) {
        store_.rewind(body.at("rewind_to").get<std::uint64_t>());
    }
}

boost::asio::awaitable<answer> platform::read_key(exchange& call)
{
    const auto key = rest_of_path(call, kv_path);
    if (call.request().query.contains("after")) {
        calls_.add("watches");
        co_return co_await watch_key(call, key);
    }
    calls_.add("reads");
    co_return key_reply(store_.read(key), store_.revision());
}

boost::asio::awaitable<answer> platform::watch_key(exchange& call, std::string key)
{
    const auto after = number_parameter(call, "after");
    const auto end = clock::now() + std::chrono::milliseconds(number_parameter(call, "wait_ms"));
    const auto changed = store_.changed(key);
    for (;;) {
        const auto seen = changed->version();
        const auto found = store_.read(key);
        if (found.revision > after) {
            co_return key_reply(found, found.revision);
        }
        if (clock::now() >= end) {
            break;
        }
        co_await changed->wait(seen, end);
    }
    co_return http_reply{304, ""};
}

boost::asio::awaitable<answer> platform::write_key(exchange& call)
{
    const auto lease = call.request().parameter("lease");
    if (call.request().body.size() > value_limit_bytes) {
        co_return http_reply{413};
    }
    if (!lease.empty() && !leases_.is_active(lease)) {
        co_return error_reply(404, "lease has lapsed");
    }
    kv_version next{0, call.request().body, lease, false};
    co_return co_await swap(call, std::move(next));
}

boost::asio::awaitable<answer> platform::erase_key(exchange& call)
{
    kv_version absent;
    co_return co_await swap(call, std::move(absent));
}

boost::asio::awaitable<answer> platform::swap(exchange& call, kv_version next)
{
    calls_.add("writes");
    if (!call.request().query.contains("if_revision")) {
        co_return error_reply(400, "if_revision is missing");
    }
    const auto result = store_.write(rest_of_path(call, kv_path), std::move(next),
                                     number_parameter(call, "if_revision"));
    co_return reply_write(call, revision_reply(result.accepted ? 200 : 409, result.revision));
}

answer platform::reply_write(exchange& call, http_reply reply)
{
    if (control_->lose_answer()) {
        calls_.add("lost_answers");
        call.abandon();
        return std::nullopt;
    }
    return reply;
}

boost::asio::awaitable<answer> platform::list_keys(exchange& call)
{
    calls_.add("lists");
    const auto found = entries_json(store_.list(call.request().parameter("prefix")));
    co_return json_reply(200, found);
}

boost::asio::awaitable<answer> platform::grant_lease(exchange& call)
{
    calls_.add("writes");
    const auto ttl = nlohmann::json::parse(call.request().body).at("ttl_ms").get<std::int64_t>();
    const auto lease = leases_.grant(std::chrono::milliseconds(ttl), clock::now());
    boost::asio::co_spawn(boost::asio::make_strand(executor_), expire(lease),
                          boost::asio::detached);
    const nlohmann::json found{{"lease", lease}};
    co_return reply_write(call, json_reply(200, found));
}

boost::asio::awaitable<answer> platform::renew_lease(exchange& call)
{
    calls_.add("writes");
    const bool renewed = leases_.renew(rest_of_path(call, lease_path), clock::now());
    co_return reply_write(call, http_reply{renewed ? 200U : 404U});
}

boost::asio::awaitable<void> platform::expire(std::string lease)
{
    while (const auto end = leases_.remove_if_expired(lease, clock::now())) {
        co_await pause(*end - clock::now());
    }
    store_.erase_lease(lease);
}

boost::asio::awaitable<answer> platform::list_vms(exchange& /*call*/)
{
    calls_.add("reads");
    const auto lag = milliseconds(control_->current()->list_lag_ms);
    const auto at = clock::now() - std::chrono::duration_cast<clock::duration>(lag);
    co_return json_reply(200, vms_.at(at));
}

boost::asio::awaitable<answer> platform::put_vm(exchange& call)
{
    vms_.put(nlohmann::json::parse(call.request().body), clock::now());
    co_return http_reply{};
}

boost::asio::awaitable<answer> platform::erase_vm(exchange& call)
{
    vms_.erase(rest_of_path(call, vm_path), clock::now());
    co_return http_reply{};
}

} // namespace ej::stand_ins
