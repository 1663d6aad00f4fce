#include "strategies.h"

#include <algorithm>

namespace ej::measure {

namespace {

using std::chrono::milliseconds;

/// Only ejects the endpoint for a short time, as after a refusal without Retry-After.
class ignore final : public restart_strategy {
public:
    [[nodiscard]] bool stops() const override { return false; }
};

/// Nothing until the end; all requests that wait are sent at the end.
class hard_stop : public restart_strategy {};

/// Nothing until the end; requests that wait are spread over a period behind it.
class spread_restart : public restart_strategy {
public:
    explicit spread_restart(milliseconds period) : period_(period) {}

    [[nodiscard]] core::instant release(core::instant until, std::uint64_t draw) const override
    {
        return until + milliseconds(draw % static_cast<std::uint64_t>(period_.count()));
    }

private:
    milliseconds period_;
};

/// The number of requests at the endpoint starts with a share of those that it had accepted and
/// doubles after each step. A request waits for at most a third of its time, as callers do.
class slow_restart : public restart_strategy {
public:
    slow_restart(double share, milliseconds step, bool one_more = false)
        : share_(share), step_(step), one_more_(one_more)
    {
    }

    [[nodiscard]] std::uint32_t limit(std::uint32_t accepted, std::uint32_t held,
                                      core::duration elapsed) const override
    {
        constexpr long most_doublings = 10;
        const auto first = std::max(1U, static_cast<std::uint32_t>(share_ * accepted));
        const auto grown = first << std::min<long>(elapsed / step_, most_doublings);
        return one_more_ ? std::max(grown, held + 1) : grown;
    }

    [[nodiscard]] core::duration longest_wait(core::duration left) const override
    {
        return left / 3;
    }

private:
    double share_;
    milliseconds step_;
    bool one_more_;
};

/// The same; a request waits as long as it can still be served.
class long_wait final : public slow_restart {
public:
    using slow_restart::slow_restart;

    [[nodiscard]] core::duration longest_wait(core::duration left) const override { return left; }
};

/// A slow restart; all daemons observe the backoff that one was asked for.
class shared_restart final : public slow_restart {
public:
    using slow_restart::slow_restart;

    [[nodiscard]] bool shares() const override { return true; }
};

} // namespace

std::vector<named_strategy> strategies()
{
    return {
        {"none (ejection)", std::make_shared<ignore>()},
        {"hard stop", std::make_shared<hard_stop>()},
        {"hard stop, spread 500 ms", std::make_shared<spread_restart>(milliseconds(500))},
        {"slow from 1, 500 ms", std::make_shared<slow_restart>(0, milliseconds(500))},
        {"slow from half, 500 ms", std::make_shared<slow_restart>(0.5, milliseconds(500))},
        {"slow from half, 1 s", std::make_shared<slow_restart>(0.5, milliseconds(1'000))},
        {"slow from half, 500 ms, one more",
         std::make_shared<slow_restart>(0.5, milliseconds(500), true)},
        {"slow from half, 1 s, one more",
         std::make_shared<slow_restart>(0.5, milliseconds(1'000), true)},
        {"slow from all, 1 s", std::make_shared<slow_restart>(1, milliseconds(1'000))},
        {"slow from half, 1 s, long wait", std::make_shared<long_wait>(0.5, milliseconds(1'000))},
        {"shared, slow from half, 1 s",
         std::make_shared<shared_restart>(0.5, milliseconds(1'000))}};
}

} // namespace ej::measure
