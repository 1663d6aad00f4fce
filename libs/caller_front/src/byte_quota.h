#pragma once

#include <atomic>
#include <cstddef>

namespace ej::front {

/// Memory that the buffered answers of a daemon may take together. One buffer may take at most as
/// much as stays free for the others, so that a few large ones leave room for the rest.
/// Thread-safe.
class byte_quota {
public:
    explicit byte_quota(std::size_t limit) : limit_(limit) {}

    /// Adds `more` bytes to a buffer that has taken `held`; false, without effect, if they are too
    /// many.
    [[nodiscard]] bool take(std::size_t held, std::size_t more);

    /// Adds `bytes` although they may exceed the limit.
    void force(std::size_t bytes) { used_ += bytes; }

    void give_back(std::size_t bytes) { used_ -= bytes; }

    [[nodiscard]] std::size_t used() const { return used_; }

private:
    const std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

} // namespace ej::front
