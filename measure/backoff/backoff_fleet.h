#pragma once

#include "../event_queue.h"
#include "history.h"
#include "restart_strategy.h"
#include "run_figures.h"

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace ej::measure {

/// Model of daemons and of the endpoints of one service, which request a backoff when they are full
/// or warming up.
class backoff_fleet {
public:
    backoff_fleet(const history& chosen, const restart_strategy& how, std::uint64_t seed);

    /// Plays the history and adds its result to `into`.
    void run(run_figures& into);

private:
    struct request {
        core::instant first; ///< Of the caller's first attempt.
        core::instant deadline;
        std::uint64_t draw = 0;
        std::size_t daemon = 0;
        int returns = 0;
        int sends = 0;
        core::duration waited{}; ///< At this daemon, since the last return.
        std::vector<std::size_t> tried;
    };
    using request_ptr = std::shared_ptr<request>;

    /// An endpoint as one daemon knows it.
    struct view {
        std::uint32_t in_flight = 0;
        std::uint32_t held = 0;      ///< The lowest `in_flight` since then.
        std::uint32_t accepted = 0;  ///< `in_flight` when the last backoff was requested.
        core::instant until{};       ///< Of the backoff.
        core::instant avoid_until{}; ///< Of the ejection.
        core::instant answered{};    ///< When the endpoint requested the backoff.
        core::instant promised{};    ///< The end that the endpoint requested.
    };

    struct endpoint {
        std::uint32_t running = 0;
        std::vector<std::pair<std::size_t, request_ptr>> queue;
        std::vector<std::uint32_t> held; ///< Requests by daemon.
        core::instant warming_until{};
    };

    void arrive();
    void send(const request_ptr& one);
    void wait_or_refuse(const request_ptr& one);
    void refuse(const request_ptr& one, core::duration retry_after);
    void reach(std::size_t to, const request_ptr& one);
    void turned_away(std::size_t by, const request_ptr& one, core::duration retry_after);
    void begin(std::size_t at, const request_ptr& one);
    void done(std::size_t at, const request_ptr& one);
    [[nodiscard]] bool usable(const view& one) const;
    [[nodiscard]] view& view_of(const request& one, std::size_t of)
    {
        return views_[one.daemon][of];
    }

    history history_;
    const restart_strategy& how_;
    std::mt19937_64 random_;
    event_queue events_;
    std::vector<endpoint> endpoints_;
    std::vector<std::vector<view>> views_; // By daemon and endpoint.
    std::size_t turn_ = 0;
    double busy_ms_ = 0;
    run_figures* figures_ = nullptr;
};

} // namespace ej::measure
