#pragma once

#include "front_context.h"
#include "net.h"

#include <pressure/holding.h>
#include <pressure/holding_limits.h>
#include <pressure/holding_table.h>

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace ej::front {

class caller_connection;

/// The callers' connections of a lane. Closes some of them while they exceed the lane's share of
/// the daemon's descriptors or memory. Used on one lane.
class caller_table : public std::enable_shared_from_this<caller_table> {
public:
    /// Both outlive the object.
    caller_table(front_context& context, asio::io_context& lane);
    ~caller_table();
    caller_table(const caller_table&) = delete;
    caller_table& operator=(const caller_table&) = delete;
    caller_table(caller_table&&) = delete;
    caller_table& operator=(caller_table&&) = delete;

    /// Adds `connection`; returns the number under which it is listed.
    std::uint64_t add(const std::weak_ptr<caller_connection>& connection);

    /// Connection `number` now holds `held`; no effect if it is not listed.
    void update(std::uint64_t number, const pressure::holding& held);

    void remove(std::uint64_t number);

    /// Calls `action` for each connection.
    void for_each(void (caller_connection::*action)());

private:
    [[nodiscard]] pressure::holding_limits limits() const;
    void review_later();
    void review();
    void count_bytes();
    void log_shed(std::string_view limit);

    front_context& context_;
    asio::io_context& lane_;
    pressure::holding_limits limits_; // Of the configuration at the latest new connection.
    pressure::holding_table held_;
    std::unordered_map<std::uint64_t, std::weak_ptr<caller_connection>> connections_;
    std::uint64_t last_number_ = 0;
    bool review_queued_ = false;
    std::size_t bytes_counted_ = 0; // In the daemon's sum.
    core::instant next_log_{};
    std::size_t shed_ = 0; // Since the latest line in the log.
};

} // namespace ej::front
