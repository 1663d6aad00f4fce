#pragma once

#include <actions/kept_result.h>
#include <actions/result_queue.h>

#include <concurrency/sharded.h>

#include <cstddef>
#include <vector>

namespace ej::actions {

/// Bounds the memory of kept results; the oldest go first. Thread-safe.
class result_ledger {
public:
    /// Keeps at most `max_bytes` of results in all.
    explicit result_ledger(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Notes a new result and returns the actions whose results must go.
    [[nodiscard]] std::vector<action_id> add(const kept_result& result);

private:
    static constexpr std::size_t queues = 16;

    concurrency::sharded<std::size_t, result_queue, queues> queues_;
    std::size_t max_bytes_;
};

} // namespace ej::actions
