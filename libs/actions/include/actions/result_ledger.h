#pragma once

#include <actions/kept_result.h>
#include <actions/result_queue.h>

#include <concurrency/sharded.h>

#include <cstddef>
#include <vector>

namespace ej::actions {

/// Bounds the memory of retained results; the oldest are evicted first. Thread-safe.
class result_ledger {
public:
    /// Retains at most `max_bytes` of results in total.
    explicit result_ledger(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Adds a result and returns the actions whose results must be dropped.
    [[nodiscard]] std::vector<action_id> add(const kept_result& result);

private:
    static constexpr std::size_t queues = 16;

    concurrency::sharded<std::size_t, result_queue, queues> queues_;
    std::size_t max_bytes_;
};

} // namespace ej::actions
