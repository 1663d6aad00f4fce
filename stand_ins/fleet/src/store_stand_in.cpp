#include <utility>

#include <fleet/store_stand_in.h>

#include <http/pause_for.h>

#include <absl/strings/escaping.h>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace ej::fleet {

namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_conflict = 412;
constexpr unsigned status_unavailable = 503;
constexpr std::chrono::milliseconds watch_poll_interval{5};
constexpr std::chrono::hours forever{24};
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;

/// The value of the query parameter `name` of `target`; empty if it is absent.
std::string query_value(const std::string& target, const std::string& name)
{
    const auto begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const auto start = begin + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

http::response reply(const json& body)
{
    return {status_ok, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

store_stand_in::store_stand_in()
{
    const auto executor = boost::asio::make_strand(loop_);
    auto started = http::server::start(executor, {"127.0.0.1", 0}, {},
                                       [this](auto call) { return answer(std::move(call)); });
    if (!started.ok()) {
        throw std::runtime_error(std::string(started.status().message()));
    }
    server_ = *std::move(started);
    thread_ = std::thread([this] { loop_.run(); });
}

store_stand_in::~store_stand_in()
{
    loop_.stop();
    thread_.join();
}

core::address store_stand_in::address() const
{
    return server_->local();
}

void store_stand_in::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock(mutex_);
    items_[key] = {value, false, ++revision_};
}

void store_stand_in::remove(const std::string& key)
{
    const std::scoped_lock lock(mutex_);
    items_[key] = {"", true, ++revision_};
}

void store_stand_in::refuse_writes_of(const std::string& prefix)
{
    const std::scoped_lock lock(mutex_);
    refused_prefix_ = prefix;
}

std::size_t store_stand_in::count(const std::string& prefix)
{
    const std::scoped_lock lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(items_, [&](const auto& entry) {
        return entry.first.starts_with(prefix) && !entry.second.removed;
    }));
}

std::string store_stand_in::value_of(const std::string& key)
{
    const std::scoped_lock lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() || found->second.removed ? std::string() : found->second.value;
}

bool store_stand_in::contains(const std::string& key)
{
    const std::scoped_lock lock(mutex_);
    const auto found = items_.find(key);
    return found != items_.end() && !found->second.removed;
}

void store_stand_in::set_answer_pace(std::size_t part_bytes, std::chrono::milliseconds pause)
{
    part_pause_ = pause;
    part_bytes_ = part_bytes;
}

void store_stand_in::drop_history()
{
    const std::scoped_lock lock(mutex_);
    oldest_watchable_revision_ = ++revision_;
}

http::response store_stand_in::range(const std::string& prefix, const std::string& after)
{
    const std::scoped_lock lock(mutex_);
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (const auto& [key, stored] : items_) {
        if (!stored.removed && key.starts_with(prefix) && key > after) {
            more = items.size() == max_page_items || bytes > max_page_bytes;
            if (more) {
                break;
            }
            bytes += stored.value.size();
            items.push_back({{"key", key},
                             {"value", absl::Base64Escape(stored.value)},
                             {"revision", stored.revision},
                             {"createdRev", stored.revision},
                             {"lease", 0}});
        }
    }
    return reply({{"items", items}, {"morePages", more}, {"currentRev", revision_}});
}

http::response store_stand_in::changes(const std::string& prefix, std::uint64_t after, bool& empty)
{
    const std::scoped_lock lock(mutex_);
    empty = false;
    if (after < oldest_watchable_revision_) {
        return {status_gone, {}, ""};
    }
    json events = json::array();
    for (const auto& [key, stored] : items_) {
        if (stored.revision <= after || !key.starts_with(prefix)) {
            continue;
        }
        json event{{"key", key}, {"revision", stored.revision}};
        if (stored.removed) {
            event["tombstone"] = true;
        }
        else {
            event["value"] = absl::Base64Escape(stored.value);
        }
        events.push_back(std::move(event));
    }
    empty = events.empty();
    return reply({{"events", events}, {"currentRev", revision_}});
}

http::response store_stand_in::commit(const std::string& body)
{
    const auto call = json::parse(body);
    const std::scoped_lock lock(mutex_);
    for (const json& row : call["expectedRevision"]) {
        const auto existing = items_.find(row["key"].get<std::string>());
        const std::uint64_t revision =
            existing == items_.end() || existing->second.removed ? 0 : existing->second.revision;
        if (revision != row["revision"].get<std::uint64_t>()) {
            return {status_conflict, {}, "{}"};
        }
    }
    if (!refused_prefix_.empty() && std::ranges::any_of(call["writes"], [this](const json& row) {
            return row["key"].get<std::string>().starts_with(refused_prefix_);
        })) {
        return {status_unavailable, {}, "{}"};
    }
    ++revision_;
    for (const json& row : call["writes"]) {
        std::string value;
        absl::Base64Unescape(row["value"].get<std::string>(), &value);
        items_[row["key"].get<std::string>()] = {value, false, revision_};
    }
    return reply({{"revision", revision_}});
}

boost::asio::awaitable<void> store_stand_in::answer(std::shared_ptr<http::exchange> call)
{
    ++calls_;
    const auto& target = call->received().target;
    http::response result{status_not_found, {}, ""};
    bool heard = !silent_;
    if (unavailable_) {
        result.status = status_unavailable;
    }
    else if (target.starts_with("/v1/kv-range")) {
        result = range(query_value(target, "prefix"), query_value(target, "after"));
    }
    else if (target.starts_with("/v1/kv-watch")) {
        const auto after = std::stoull(query_value(target, "after"));
        const std::chrono::milliseconds wait(std::stoll(query_value(target, "waitMs")));
        bool empty = true;
        for (std::chrono::milliseconds waited{0};; waited += watch_poll_interval) {
            result = changes(query_value(target, "prefix"), after, empty);
            if (!empty || waited >= wait || unavailable_) {
                break;
            }
            co_await http::pause_for(watch_poll_interval);
            heard = heard && !silent_;
        }
    }
    else if (target == "/v1/kv-txn") {
        result = commit(call->received().body);
    }
    else if (target == "/v1/kv-lease" || (target.starts_with("/v1/kv-keep") && !leases_ended_)) {
        leases_ended_ = false;
        result = reply({{"lease", 7}, {"ttlMs", 10'000}});
    }
    if (!heard || silent_) {
        co_await http::pause_for(forever);
    }
    if (answer_delay_.load() > std::chrono::milliseconds(0)) {
        co_await http::pause_for(answer_delay_.load());
    }
    if (part_bytes_ > 0 && result.status == status_ok) {
        co_await send_in_parts(std::move(call), std::move(result));
        co_return;
    }
    const auto status = co_await call->respond(std::move(result));
    static_cast<void>(status); // A daemon that shuts down does not read its last response.
}

boost::asio::awaitable<void> store_stand_in::send_in_parts(std::shared_ptr<http::exchange> call,
                                                           http::response result)
{
    auto status = co_await call->start_stream(std::move(result.headers));
    const std::size_t length = part_bytes_;
    for (std::size_t sent = 0; status.ok() && sent < result.body.size(); sent += length) {
        if (sent > 0) {
            co_await http::pause_for(part_pause_.load());
        }
        std::string part = result.body.substr(sent, length);
        status = co_await call->write(std::move(part));
    }
    if (status.ok()) {
        status = co_await call->finish();
    }
}

} // namespace ej::fleet
