#pragma once

#include <generation/cause.h>

#include <core/instant.h>

#include <cstdint>

namespace ej::generation {

/// How to continue when a connection is lost or silent. The target of the class selects the policy:
/// checking the engine first saves work, restarting immediately saves time.
class loss_policy {
public:
    loss_policy() = default;
    virtual ~loss_policy() = default;
    loss_policy(const loss_policy&) = delete;
    loss_policy& operator=(const loss_policy&) = delete;
    loss_policy(loss_policy&&) = delete;
    loss_policy& operator=(loss_policy&&) = delete;

    /// True: query the engine over a new connection; false: start the next attempt immediately.
    /// `restarts` is the number of attempts given up so far.
    [[nodiscard]] virtual bool checks_before_restart(cause why, std::uint32_t restarts) const = 0;

    /// Maximum time without a line before the stream counts as silent; > 0.
    [[nodiscard]] virtual core::duration silence_timeout() const = 0;

    /// Maximum time to wait for the answer to a check; > 0.
    [[nodiscard]] virtual core::duration check_timeout() const = 0;
};

} // namespace ej::generation
