#pragma once

#include "byte_quota.h"

#include <cstddef>
#include <utility>

namespace ej::front {

/// What one buffer has taken from a quota; given back at the end.
class byte_share {
public:
    /// Buffers up to this size take nothing: a usual answer is never turned away for large ones.
    static constexpr std::size_t free_bytes = std::size_t{64} << 10;

    /// `quota` outlives the share.
    explicit byte_share(byte_quota& quota) : quota_(&quota) {}
    ~byte_share() { release(); }
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;
    byte_share(byte_share&& other) noexcept
        : quota_(other.quota_), taken_(std::exchange(other.taken_, 0))
    {
    }
    byte_share& operator=(byte_share&& other) noexcept
    {
        std::swap(quota_, other.quota_);
        std::swap(taken_, other.taken_);
        return *this;
    }

    /// The buffer will hold `bytes`; false, without effect, if the quota has no room for them.
    [[nodiscard]] bool resize(std::size_t bytes);

    /// The buffer holds `bytes` that were taken from the quota before, by another share.
    void take_over(std::size_t bytes);

    void release() { take_over(0); }

private:
    byte_quota* quota_;
    std::size_t taken_ = 0;
};

} // namespace ej::front
