#pragma once

#include <core/instant.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ej::rollout {

/// Numbers of answers by latency. Each bucket's upper bound is sqrt(2) times that of the one
/// before, from 1 ms to over ten minutes.
struct latency_counts {
    static constexpr std::size_t buckets = 40;

    std::array<std::uint32_t, buckets> count{};

    /// The bucket of `latency`.
    [[nodiscard]] static std::size_t bucket_of(core::duration latency);

    /// Number of answers.
    [[nodiscard]] std::uint64_t total() const;

    /// Number of answers in buckets above `bucket`.
    [[nodiscard]] std::uint64_t above(std::size_t bucket) const;

    /// The bucket of the median; empty without answers.
    [[nodiscard]] std::optional<std::size_t> median() const;

    latency_counts& operator+=(const latency_counts& other);

    friend auto operator<=>(const latency_counts&, const latency_counts&) = default;
};

} // namespace ej::rollout
