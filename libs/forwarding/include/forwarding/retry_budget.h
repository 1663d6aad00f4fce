#pragma once

#include <forwarding/load_message.h>
#include <forwarding/peer_budgets.h>
#include <forwarding/retry_budget_settings.h>
#include <forwarding/send_window.h>
#include <forwarding/service_share.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/instant.h>
#include <core/service_id.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::forwarding {

/// Retry budget: limits the sends after the first one of each request, per service, over a sliding
/// window and summed over all daemons. Each daemon may use the ratio of its own first sends plus
/// its share of the allowance; once it receives messages of others, a part of that is its own and
/// the rest is used by whoever needs it, as far as the messages of its peers show it to be unused.
/// Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    /// Replaces the limits; earlier sends still count.
    void set(const retry_budget_settings& settings);

    /// Records the first send of a request to `service`.
    void first(const core::service_id& service, core::instant now);

    /// Spends one further send; false if the budget is exhausted. `daemons` is the number of
    /// daemons that share the allowance.
    bool take(const core::service_id& service, std::size_t daemons, core::instant now);

    /// Number of further sends since the start, of all services.
    [[nodiscard]] std::uint64_t takes() const { return takes_; }

    /// Applies the numbers of sends in a peer's message.
    void apply_peer_message(const load_message& message, core::instant now)
    {
        others_.apply(message, now);
    }

    /// Generations for `service` that wait at other daemons, from their messages.
    [[nodiscard]] std::uint64_t waiting_elsewhere(const core::service_id& service,
                                                  core::instant now) const
    {
        return others_.sum(service, now).waiting;
    }

    /// Requests for `service` a second, of all daemons that report theirs, over the window.
    [[nodiscard]] double requests_per_second(const core::service_id& service, core::instant now);

    /// This daemon's numbers of sends within the window, by service.
    [[nodiscard]] std::vector<service_share> own_shares(core::instant now);

private:
    concurrency::snapshot<retry_budget_settings> settings_;
    concurrency::sharded<core::service_id, send_window> windows_;
    peer_budgets others_;
    std::atomic<std::uint64_t> takes_{0};
};

} // namespace ej::forwarding
