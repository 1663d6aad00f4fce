#pragma once

#include <pressure/holding.h>
#include <pressure/holding_limits.h>
#include <pressure/holding_table.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace ej::http {

class server_connection;

/// The connections of a server. Closes some of them while they exceed its limits. Thread-safe.
class connection_table {
public:
    explicit connection_table(pressure::holding_limits limits) : limits_(limits) {}

    /// Adds `connection`; returns the number under which it is listed.
    std::uint64_t add(const std::shared_ptr<server_connection>& connection);

    /// Connection `number` now holds `held`; no effect if it is not listed.
    void update(std::uint64_t number, const pressure::holding& held);

    void remove(std::uint64_t number);

private:
    [[nodiscard]] std::vector<std::weak_ptr<server_connection>> take_surplus();

    const pressure::holding_limits limits_;
    std::mutex mutex_;
    pressure::holding_table held_;
    std::unordered_map<std::uint64_t, std::weak_ptr<server_connection>> connections_;
    std::uint64_t last_number_ = 0;
};

} // namespace ej::http
