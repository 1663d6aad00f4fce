#pragma once

#include <forwarding/budget_share.h>
#include <forwarding/load_message.h>
#include <forwarding/peer_budgets.h>
#include <forwarding/send_budget_settings.h>
#include <forwarding/send_window.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/instant.h>
#include <core/service_id.h>

#include <cstddef>
#include <vector>

namespace ej::forwarding {

/// Bounds the sends beyond the first of each request, per service over a sliding window, summed
/// over all daemons. Each daemon may use the ratio of its own requests and its part of the
/// allowance; beyond that, what the others have told to be left. Thread-safe.
class send_budget {
public:
    explicit send_budget(send_budget_settings settings);

    /// Replaces the bound; what was sent before still counts.
    void set(const send_budget_settings& settings);

    /// Notes the first send of a request to `service`.
    void first(const core::service_id& service, core::instant now);

    /// Takes one further send; false when nothing is left. `daemons` share the allowance.
    bool take(const core::service_id& service, std::size_t daemons, core::instant now);

    /// Another daemon told its sends.
    void hear(const load_message& message, core::instant now) { others_.apply(message, now); }

    /// This daemon's sends within the window.
    [[nodiscard]] std::vector<budget_share> own_shares(core::instant now);

private:
    concurrency::snapshot<send_budget_settings> settings_;
    concurrency::sharded<core::service_id, send_window> windows_;
    peer_budgets others_;
};

} // namespace ej::forwarding
