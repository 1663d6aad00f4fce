#pragma once

#include "record.h"
#include "server.h"

#include <condition_variable>
#include <map>
#include <optional>
#include <string>

namespace review {

/// The platform's store, as PROTOCOL.md tells it.
class store final : public server {
public:
    store(int port, record& log) : server(port), log_(log) {}

    /// Writes an entry; returns its revision.
    long put(const std::string& key, const std::string& value);

    void remove(const std::string& key);

    /// Closes, without an answer, each open connection on which a watch waits now, or on which one
    /// waits next.
    void cut_watches() { ++cut_requests_; }

    [[nodiscard]] int cuts() const { return cuts_; }

protected:
    void serve(connection& peer) override;

private:
    struct item {
        std::string value;
        long revision = 0;
        long created = 0;
        long lease = 0;
    };
    struct event {
        std::string key;
        std::optional<item> what;
        long revision = 0;
    };

    /// `cuts_at_start`: the cuts that had been requested as the connection began.
    bool answer(const message& request, connection& peer, long cuts_at_start);
    bool watch(const std::map<std::string, std::string>& query, connection& peer,
               long cuts_at_start);
    void put_locked(const std::string& key, const std::string& value, long lease);
    void remove_locked(const std::string& key);
    void expire_leases();

    record& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::map<long, steady::time_point> leases_;
    std::map<long, milliseconds> lease_times_;
    long revision_ = 100;
    long next_lease_ = 7'000;
    std::atomic<long> cut_requests_{0};
    std::atomic<int> cuts_{0};
};

} // namespace review
