#include <utility>

#include <platform/store.h>

#include <algorithm>
#include <iterator>

namespace ej::platform {

namespace asio = boost::asio;

store::store(http::client& transport, client_settings settings,
             std::shared_ptr<const store_protocol> protocol)
    : transport_(transport), settings_(std::move(settings)), protocol_(std::move(protocol))
{
}

asio::awaitable<absl::StatusOr<http::response>> store::call(call_kind kind, http::request outgoing,
                                                            core::duration deadline,
                                                            std::optional<http::body_pace> pace,
                                                            bool reuse_connection)
{
    counts_.begin(kind);
    http::call_options options;
    options.deadline = deadline;
    options.pace = pace;
    options.reuse_connection = reuse_connection;
    options.connect_timeout = settings_.deadline;
    options.max_body_bytes = max_answer_bytes;
    absl::StatusOr<http::response> answer =
        co_await transport_.fetch(settings_.platform, std::move(outgoing), options);
    if (!answer.ok()) {
        counts_.fail(kind);
    }
    co_return answer;
}

asio::awaitable<absl::StatusOr<store_listing>> store::scan(std::string prefix,
                                                           core::duration within)
{
    const http::body_pace pace{within, min_answer_bytes_per_second};
    store_listing all;
    std::string after;
    for (bool first = true;; first = false) {
        http::request outgoing = protocol_->scan(prefix, after);
        const auto answer = co_await call(call_kind::list, std::move(outgoing), within, pace);
        if (!answer.ok()) {
            co_return answer.status();
        }
        auto page = protocol_->parse_page(*answer);
        if (!page.ok()) {
            counts_.fail(call_kind::list);
            co_return page.status();
        }
        if (first) {
            all.as_of = page->as_of;
        }
        const bool more = page->more && !page->items.empty();
        std::ranges::move(page->items, std::back_inserter(all.items));
        if (!more) {
            co_return all;
        }
        after = all.items.back().key;
    }
}

asio::awaitable<absl::StatusOr<store_listing>> store::poll_changes(std::string prefix,
                                                                   core::revision after,
                                                                   std::chrono::milliseconds wait,
                                                                   core::duration within)
{
    http::request outgoing = protocol_->poll_changes(prefix, after, wait);
    const http::body_pace pace{within, min_answer_bytes_per_second};
    const core::duration deadline = within + wait;
    const auto answer = co_await call(call_kind::watch, std::move(outgoing), deadline, pace);
    if (!answer.ok()) {
        co_return answer.status();
    }
    auto changes = protocol_->parse_changes(*answer);
    if (!changes.ok()) {
        counts_.fail(call_kind::watch);
    }
    co_return changes;
}

asio::awaitable<absl::Status> store::probe(std::string key, core::duration within)
{
    http::request outgoing = protocol_->probe(key);
    const auto answer =
        co_await call(call_kind::read, std::move(outgoing), within, std::nullopt, false);
    if (!answer.ok()) {
        co_return answer.status();
    }
    co_return protocol_->parse_probe(*answer);
}

asio::awaitable<absl::StatusOr<core::revision>> store::commit(std::vector<store_write> writes)
{
    http::request outgoing = protocol_->commit(writes);
    const auto answer = co_await call(call_kind::write, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    auto revision = protocol_->parse_commit(*answer);
    if (!revision.ok()) {
        counts_.fail(call_kind::write);
    }
    co_return revision;
}

asio::awaitable<absl::StatusOr<granted_lease>>
store::grant_lease(std::chrono::milliseconds time_to_live)
{
    http::request outgoing = protocol_->grant_lease(time_to_live);
    const auto answer = co_await call(call_kind::lease, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    co_return protocol_->parse_granted_lease(*answer);
}

asio::awaitable<absl::Status> store::renew_lease(lease_id lease)
{
    http::request outgoing = protocol_->renew_lease(lease);
    const auto answer = co_await call(call_kind::lease, std::move(outgoing), settings_.deadline);
    if (!answer.ok()) {
        co_return answer.status();
    }
    co_return protocol_->parse_renewal(*answer);
}

} // namespace ej::platform
