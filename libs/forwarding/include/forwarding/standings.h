#pragma once

#include <forwarding/attempt_end.h>
#include <forwarding/endpoint_standing.h>
#include <forwarding/load_message.h>
#include <forwarding/load_report.h>
#include <forwarding/load_share.h>
#include <forwarding/peer_loads.h>

#include <concurrency/sharded.h>
#include <core/address.h>
#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ej::forwarding {

/// The standings of all endpoints, a lock per shard of endpoints. Thread-safe.
class standings {
public:
    /// A request with `prompt_tokens` was sent.
    void begin(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// The endpoint produced the first output of a request with `prompt_tokens`.
    void first_output(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// A request ended; `prompt_tokens` are those that had no output yet.
    void end(const core::endpoint_id& name, std::uint64_t prompt_tokens);

    /// The endpoint answered well.
    void succeeded(const core::endpoint_id& name);

    /// An attempt ended badly; the endpoint is avoided for longer each time.
    void failed(const core::endpoint_id& name, attempt_end end, core::instant now);

    /// The endpoint reported its load.
    void report(const core::endpoint_id& name, const load_report& load, core::instant now);

    /// An event of the engine at `where` took `ratio` of its usual time. Kept by address: a
    /// restarted engine has another name and the same speed.
    void paced(const core::address& where, double ratio);

    /// Another daemon told its load.
    void hear(const load_message& message, core::instant now) { others_.apply(message, now); }

    /// Forgets the loads of daemons that fell silent.
    void expire(core::instant now) { others_.expire(now); }

    /// This daemon's part of the load at `name`.
    [[nodiscard]] load_share own_share(const core::endpoint_id& name);

    /// This daemon's parts of all loads.
    [[nodiscard]] std::vector<load_share> own_shares();

    /// What is known; the initial standing for an unknown one.
    [[nodiscard]] endpoint_standing of(const core::endpoint& endpoint);

private:
    concurrency::sharded<core::endpoint_id, endpoint_standing> entries_;
    concurrency::sharded<std::string, double> slowness_; // By address.
    peer_loads others_;
};

} // namespace ej::forwarding
