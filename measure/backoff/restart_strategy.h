#pragma once

#include <core/instant.h>

#include <chrono>
#include <cstdint>
#include <limits>

namespace ej::measure {

/// How daemons use an endpoint after the end of a backoff that it requested.
class restart_strategy {
public:
    restart_strategy() = default;
    virtual ~restart_strategy() = default;
    restart_strategy(const restart_strategy&) = delete;
    restart_strategy& operator=(const restart_strategy&) = delete;
    restart_strategy(restart_strategy&&) = delete;
    restart_strategy& operator=(restart_strategy&&) = delete;

    /// True if nothing is sent during a backoff.
    [[nodiscard]] virtual bool stops() const { return true; }

    /// True if a daemon tells the others about a backoff, and they observe it too.
    [[nodiscard]] virtual bool shares() const { return false; }

    /// When a request that waits for the end of a backoff is sent; `draw` differs between requests.
    [[nodiscard]] virtual core::instant release(core::instant until, std::uint64_t draw) const
    {
        static_cast<void>(draw);
        return until;
    }

    /// How long a request that has `left` until its deadline may wait for endpoints.
    [[nodiscard]] virtual core::duration longest_wait(core::duration left) const { return left; }

    /// Most requests that one daemon may have at the endpoint `elapsed` after the end of a backoff;
    /// `accepted`: those that it had there when the endpoint requested it;
    /// `held`: those of them that may still be there.
    [[nodiscard]] virtual std::uint32_t limit(std::uint32_t accepted, std::uint32_t held,
                                              core::duration elapsed) const
    {
        static_cast<void>(held);
        static_cast<void>(accepted);
        static_cast<void>(elapsed);
        return std::numeric_limits<std::uint32_t>::max();
    }
};

} // namespace ej::measure
