#pragma once

#include <rollout/latency_counts.h>

#include <compare>
#include <cstdint>

namespace ej::rollout {

/// Answers of endpoints on one route since the order, and those that are still awaited.
struct answer_counts {
    std::uint32_t failed = 0;    ///< Failures that an endpoint itself sent, or spoiled answers.
    latency_counts first_output; ///< Time to the first event of a stream.
    latency_counts whole;        ///< Time to the end of a successful answer.
    latency_counts awaited;      ///< Time so far of requests without any output yet.

    /// Number of requests that were answered.
    [[nodiscard]] std::uint64_t answers() const;

    answer_counts& operator+=(const answer_counts& other);

    friend auto operator<=>(const answer_counts&, const answer_counts&) = default;
};

} // namespace ej::rollout
