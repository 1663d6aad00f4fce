#pragma once

#include <forwarding/address_speed.h>
#include <forwarding/attempt_end.h>
#include <forwarding/available_endpoints.h>
#include <forwarding/endpoint_stats.h>
#include <forwarding/load_message.h>
#include <forwarding/load_report.h>
#include <forwarding/load_share.h>
#include <forwarding/peer_loads.h>

#include <concurrency/sharded.h>
#include <core/address.h>
#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/instant.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::forwarding {

/// Load and health of all endpoints, with one lock per shard of endpoints. Thread-safe.
class endpoint_stats_table {
public:
    /// Time for which the speed at an address is remembered while no endpoint there is available.
    static constexpr core::duration speed_retention = std::chrono::minutes(10);

    /// Records that a request with `prompt_tokens` was sent.
    void begin(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// Records the first output of a request with `prompt_tokens`.
    void first_output(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// Records the end of a request; `prompt_tokens` are those without output yet, so 0 if it had
    /// produced output.
    void end(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// Records that a request or a copy will hold `tokens` of the endpoint's memory.
    void hold(const core::endpoint_id& name, std::uint64_t tokens);

    /// Records that `tokens` are no longer held.
    void release(const core::endpoint_id& name, std::uint64_t tokens);

    /// Records a successful response; ends the ejection.
    void succeeded(const core::endpoint_id& name);

    /// Records a failed attempt. Consecutive failures eject the endpoint for longer each time.
    void failed(const core::endpoint_id& name, attempt_end end, core::instant now);

    /// Records that `endpoint` refused one of the requests in flight and asked for none until
    /// `until`. An earlier end does not shorten a backoff, and it does not apply to other
    /// incarnations of the endpoint.
    void back_off(const core::endpoint& endpoint, core::instant until);

    /// True if `endpoint` asked for no requests at `now`.
    [[nodiscard]] bool in_backoff(const core::endpoint& endpoint, core::instant now);

    /// Applies a load report of the endpoint.
    void report(const core::endpoint_id& name, const load_report& load, core::instant now);

    /// Records that an event from the engine at `where` took `ratio` times the usual time. Stored
    /// by address: a restarted engine has a new name but the same speed.
    void record_slowness(const core::address& where, double ratio);

    /// Applies the loads in a peer's message.
    void apply_peer_message(const load_message& message, core::instant now)
    {
        others_.apply(message, now);
    }

    /// Drops the loads of peers whose last message has expired.
    void expire(core::instant now) { others_.expire(now); }

    /// Forgets the endpoints that are not `available`, run no request of this daemon, are not
    /// ejected and asked for no backoff, and the speed at addresses that have not been in use for
    /// `speed_retention`; to be called regularly.
    void review(const available_endpoints& available, core::instant now);

    /// Number of endpoints and of addresses that are remembered.
    [[nodiscard]] std::size_t size() { return entries_.size() + speeds_.size(); }

    /// This daemon's share of the load at `name`.
    [[nodiscard]] load_share own_share(const core::endpoint_id& name);

    /// This daemon's shares of the load at all endpoints where it has requests or copies.
    [[nodiscard]] std::vector<load_share> own_shares();

    /// Load and health of `endpoint`; initial values if it is unknown.
    [[nodiscard]] endpoint_stats of(const core::endpoint& endpoint);

private:
    concurrency::sharded<core::endpoint_id, endpoint_stats> entries_;
    concurrency::sharded<std::string, address_speed> speeds_; // By address.
    peer_loads others_;
};

} // namespace ej::forwarding
