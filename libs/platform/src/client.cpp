#include <utility>

#include <platform/client.h>

#include "answers.h"

#include <absl/strings/str_cat.h>

namespace ej::platform {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_client_error = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_server_error = 500;

http::request make_request(std::string method, std::string target, std::string body = {})
{
    http::request made;
    made.method = std::move(method);
    made.target = std::move(target);
    made.body = std::move(body);
    return made;
}

absl::Status unexpected_status(const http::response& answer)
{
    return absl::InternalError(absl::StrCat("platform answered with status ", answer.status));
}

bool is_watch_status(unsigned status)
{
    return status == status_ok || status == status_not_modified || status == status_not_found;
}

// After a 4xx status the write was not made; after a 5xx status its outcome is unknown.
cas_result to_cas_result(const http::response& answer)
{
    const core::revision revision = parse_revision(answer.body).value_or(core::revision());
    if (answer.status == status_ok && revision.value() > 0) {
        return {cas_outcome::applied, revision};
    }
    if (answer.status >= status_client_error && answer.status < status_server_error) {
        return {cas_outcome::conflict, revision};
    }
    return {};
}

} // namespace

client::client(http::client& transport, client_settings settings)
    : transport_(transport), settings_(std::move(settings))
{
}

asio::awaitable<absl::StatusOr<http::response>> client::call(call_kind kind, http::request outgoing,
                                                             core::duration deadline)
{
    counts_.begin(kind);
    http::call_options options;
    options.deadline = deadline;
    absl::StatusOr<http::response> answer =
        co_await transport_.fetch(settings_.platform, std::move(outgoing), options);
    if (!answer.ok() || answer->status >= status_server_error) {
        counts_.fail(kind);
    }
    co_return answer;
}

asio::awaitable<absl::StatusOr<kv_entry>> client::read(std::string key)
{
    http::request outgoing = make_request("GET", "/kv/" + key);
    const auto answer = co_await call(call_kind::read, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->status == status_not_found) {
        co_return kv_entry{};
    }
    if (answer->status != status_ok) {
        co_return unexpected_status(*answer);
    }
    co_return parse_entry(answer->body);
}

asio::awaitable<absl::StatusOr<std::optional<kv_entry>>>
client::watch(std::string key, core::revision after, std::chrono::milliseconds wait)
{
    http::request outgoing = make_request(
        "GET", absl::StrCat("/kv/", key, "?after=", after.value(), "&wait_ms=", wait.count()));
    const core::duration deadline = settings_.deadline + wait;
    const auto answer = co_await call(call_kind::watch, std::move(outgoing), deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (!is_watch_status(answer->status)) {
        co_return unexpected_status(*answer);
    }
    if (answer->status == status_not_modified) {
        co_return std::nullopt;
    }
    if (answer->status == status_not_found) {
        co_return kv_entry{};
    }
    auto entry = parse_entry(answer->body);
    if (!entry.ok()) {
        co_return entry.status();
    }
    co_return std::optional<kv_entry>(*std::move(entry));
}

asio::awaitable<cas_result> client::send_conditional_write(http::request outgoing)
{
    const auto answer = co_await call(call_kind::write, std::move(outgoing), settings_.deadline);
    co_return answer.ok() ? to_cas_result(*answer) : cas_result{};
}

asio::awaitable<cas_result> client::compare_and_swap(std::string key, std::string value,
                                                     core::revision if_revision, lease_id lease)
{
    std::string target = absl::StrCat("/kv/", key, "?if_revision=", if_revision.value());
    if (!lease.empty()) {
        absl::StrAppend(&target, "&lease=", lease.text());
    }
    http::request outgoing = make_request("PUT", std::move(target), std::move(value));
    co_return co_await send_conditional_write(std::move(outgoing));
}

asio::awaitable<cas_result> client::remove(std::string key, core::revision if_revision)
{
    http::request outgoing =
        make_request("DELETE", absl::StrCat("/kv/", key, "?if_revision=", if_revision.value()));
    co_return co_await send_conditional_write(std::move(outgoing));
}

asio::awaitable<absl::StatusOr<std::vector<named_entry>>> client::list(std::string prefix)
{
    http::request outgoing = make_request("GET", "/kv?prefix=" + prefix);
    const auto answer = co_await call(call_kind::list, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->status != status_ok) {
        co_return unexpected_status(*answer);
    }
    co_return parse_entries(answer->body);
}

asio::awaitable<absl::StatusOr<lease_id>>
client::grant_lease(std::chrono::milliseconds time_to_live)
{
    http::request outgoing =
        make_request("POST", "/leases", absl::StrCat("{\"ttl_ms\":", time_to_live.count(), "}"));
    const auto answer = co_await call(call_kind::lease, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->status != status_ok) {
        co_return unexpected_status(*answer);
    }
    co_return parse_lease(answer->body);
}

asio::awaitable<absl::StatusOr<bool>> client::keep_alive(lease_id lease)
{
    http::request outgoing = make_request("PUT", "/leases/" + lease.text());
    const auto answer = co_await call(call_kind::lease, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->status != status_ok && answer->status != status_not_found) {
        co_return unexpected_status(*answer);
    }
    co_return answer->status == status_ok;
}

asio::awaitable<absl::StatusOr<std::vector<vm_record>>> client::vms()
{
    http::request outgoing = make_request("GET", "/vms");
    const auto answer = co_await call(call_kind::vms, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    if (answer->status != status_ok) {
        co_return unexpected_status(*answer);
    }
    co_return parse_vms(answer->body);
}

} // namespace ej::platform
