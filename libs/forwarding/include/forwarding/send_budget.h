#pragma once

#include <forwarding/send_budget_settings.h>
#include <forwarding/send_window.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/instant.h>
#include <core/service_id.h>

namespace ej::forwarding {

/// Bounds the sends beyond the first of each request, per service over a sliding window.
/// The allowance beside the ratio is divided among the daemons. Thread-safe.
class send_budget {
public:
    explicit send_budget(send_budget_settings settings);

    /// Replaces the bound; what was sent before still counts.
    void set(const send_budget_settings& settings);

    /// Notes the first send of a request to `service`.
    void first(const core::service_id& service, core::instant now);

    /// Takes one further send; false when the window has none left.
    bool take(const core::service_id& service, std::size_t daemons, core::instant now);

private:
    concurrency::snapshot<send_budget_settings> settings_;
    concurrency::sharded<core::service_id, send_window> windows_;
};

} // namespace ej::forwarding
