#pragma once

#include <pressure/holding.h>
#include <pressure/holding_limits.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace ej::pressure {

/// What each of a group of connections holds, and which one is closed when they exceed a limit.
///
/// Load: more connections than there are descriptors for, and unfinished requests or unread answers
/// that together exceed the memory. The connection that has waited longest for its client goes
/// first, so that a client which keeps up is served while others stall.
class holding_table {
public:
    /// Connection `number` now holds `held`.
    void put(std::uint64_t number, const holding& held);

    /// Connection `number` has ended; no effect if it is not listed.
    void erase(std::uint64_t number);

    /// The connection to close next; empty if the limits are kept or no other may be closed.
    [[nodiscard]] std::optional<std::uint64_t> next_to_close(const holding_limits& limits) const;

    /// True if a limit is exceeded.
    [[nodiscard]] bool exceeds(const holding_limits& limits) const
    {
        return held_.size() > limits.connections || bytes_ > limits.bytes;
    }

    [[nodiscard]] std::size_t size() const { return held_.size(); }

    /// Bytes that all connections hold.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    std::unordered_map<std::uint64_t, holding> held_;
    std::size_t bytes_ = 0;
};

} // namespace ej::pressure
