#include <rollout/latency_counts.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>

namespace ej::rollout {

namespace {

constexpr double buckets_per_doubling = 2;

} // namespace

std::size_t latency_counts::bucket_of(core::duration latency)
{
    const auto in_ms = std::chrono::duration<double, std::milli>(latency).count();
    if (in_ms <= 1) {
        return 0;
    }
    const auto index = std::ceil(buckets_per_doubling * std::log2(in_ms));
    return std::min(static_cast<std::size_t>(index), buckets - 1);
}

std::uint64_t latency_counts::total() const
{
    return std::accumulate(count.begin(), count.end(), std::uint64_t{0});
}

std::uint64_t latency_counts::above(std::size_t bucket) const
{
    const auto first = std::min(bucket + 1, buckets);
    return std::accumulate(count.begin() + static_cast<std::ptrdiff_t>(first), count.end(),
                           std::uint64_t{0});
}

std::optional<std::size_t> latency_counts::median() const
{
    const auto all = total();
    if (all == 0) {
        return std::nullopt;
    }
    std::size_t bucket = 0;
    while (2 * above(bucket) > all) {
        ++bucket;
    }
    return bucket;
}

latency_counts& latency_counts::operator+=(const latency_counts& other)
{
    std::ranges::transform(count, other.count, count.begin(), std::plus<>());
    return *this;
}

} // namespace ej::rollout
