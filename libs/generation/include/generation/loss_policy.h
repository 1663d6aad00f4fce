#pragma once

#include <generation/cause.h>

#include <core/instant.h>

#include <cstdint>

namespace ej::generation {

/// How to go on when a connection is lost or silent. The class's target chooses the policy:
/// asking first saves work, starting anew at once saves time.
class loss_policy {
public:
    loss_policy() = default;
    virtual ~loss_policy() = default;
    loss_policy(const loss_policy&) = delete;
    loss_policy& operator=(const loss_policy&) = delete;
    loss_policy(loss_policy&&) = delete;
    loss_policy& operator=(loss_policy&&) = delete;

    /// True: ask the engine over a new connection; false: start the next attempt at once.
    /// `restarts` attempts were given up before.
    [[nodiscard]] virtual bool checks_before_restart(cause why, std::uint32_t restarts) const = 0;

    /// Longest time without a line before the stream counts as silent; > 0.
    [[nodiscard]] virtual core::duration silence_bound() const = 0;

    /// Longest time to wait for an answer to a question; > 0.
    [[nodiscard]] virtual core::duration answer_bound() const = 0;
};

} // namespace ej::generation
