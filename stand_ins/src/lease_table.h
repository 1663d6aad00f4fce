#pragma once

#include <concurrency/sharded.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace ej::stand_ins {

/// Leases and their expiry times. Thread-safe.
class lease_table {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Grants a lease that expires at `now` + `ttl` and returns its name.
    [[nodiscard]] std::string grant(std::chrono::milliseconds ttl, time_point now);

    /// Extends a lease to `now` + its ttl; false if it has expired.
    [[nodiscard]] bool renew(const std::string& lease, time_point now);

    [[nodiscard]] bool is_active(const std::string& lease);

    /// Removes the lease if it has expired at `now`; otherwise returns its expiry time.
    [[nodiscard]] std::optional<time_point> remove_if_expired(const std::string& lease,
                                                              time_point now);

private:
    struct term {
        std::chrono::milliseconds ttl{};
        time_point end;
    };

    concurrency::sharded<std::string, term> terms_;
    std::atomic<std::uint64_t> granted_ = 0;
};

} // namespace ej::stand_ins
