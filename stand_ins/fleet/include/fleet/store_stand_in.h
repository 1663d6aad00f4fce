#pragma once

#include <http/server.h>

#include <core/address.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace ej::fleet {

/// An in-process version of the users' store: keys with revisions, ranges, watches, transactions
/// and leases. Leases end only by `end_leases`. Thread-safe.
class store_stand_in {
public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;
    store_stand_in(store_stand_in&&) = delete;
    store_stand_in& operator=(store_stand_in&&) = delete;

    [[nodiscard]] core::address address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key);

    /// The value of `key`; empty if it is absent.
    [[nodiscard]] std::string value_of(const std::string& key);

    /// Number of keys that begin with `prefix`.
    [[nodiscard]] std::size_t count(const std::string& prefix);

    /// Ends all leases granted so far; their keys stay.
    void end_leases() { leases_ended_ = true; }

    /// While set, every call is answered with status 503.
    void set_unavailable(bool unavailable) { unavailable_ = unavailable; }

    /// From now on, transactions that write a key with `prefix` are answered with status 503.
    void refuse_writes_of(const std::string& prefix);

    /// While set, calls are received but never answered, not even afterwards.
    void set_silent(bool silent) { silent_ = silent; }

    /// Sends each answer `delay` later than it could be sent; 0: at once.
    void set_answer_delay(std::chrono::milliseconds delay) { answer_delay_ = delay; }

    /// Sends the bodies of successful answers in parts of `part_bytes` with `pause` between them; 0
    /// bytes: whole.
    void set_answer_pace(std::size_t part_bytes, std::chrono::milliseconds pause);

    /// Drops the change history: a watch from an earlier revision is answered with status 410.
    void drop_history();

    /// Number of calls received so far.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct item {
        std::string value;
        bool removed = false;
        std::uint64_t revision = 0;
    };

    boost::asio::awaitable<void> answer(std::shared_ptr<http::exchange> call);
    boost::asio::awaitable<void> send_in_parts(std::shared_ptr<http::exchange> call,
                                               http::response result);
    http::response range(const std::string& prefix, const std::string& after);
    http::response changes(const std::string& prefix, std::uint64_t after, bool& empty);
    http::response commit(const std::string& body);

    std::atomic<bool> unavailable_{false};
    std::atomic<bool> silent_{false};
    std::atomic<bool> leases_ended_{false};
    std::atomic<std::uint64_t> calls_{0};
    std::atomic<std::chrono::milliseconds> answer_delay_{std::chrono::milliseconds(0)};
    std::atomic<std::size_t> part_bytes_{0};
    std::atomic<std::chrono::milliseconds> part_pause_{std::chrono::milliseconds(0)};
    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::string refused_prefix_; // Empty: none.
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_watchable_revision_ = 0;
    boost::asio::io_context loop_{1};
    std::unique_ptr<http::server> server_;
    std::thread thread_;
};

} // namespace ej::fleet
