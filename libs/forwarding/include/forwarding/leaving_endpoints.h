#pragma once

#include <forwarding/endpoint_run.h>
#include <forwarding/endpoint_run_hash.h>
#include <forwarding/leaving_evidence.h>

#include <concurrency/sharded.h>
#include <core/instant.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace ej::forwarding {

/// The incarnations of endpoints that are known to leave. Thread-safe, with one lock per shard.
class leaving_endpoints {
public:
    /// Time for which an incarnation is remembered once it is no longer registered. A registration
    /// that is read late, or written anew after a cut, does not bring it back within that time.
    static constexpr core::duration retention = std::chrono::minutes(10);

    using run_filter = std::function<bool(const endpoint_run&)>;

    /// Returns true if the incarnation was not known to leave.
    bool record(const leaving_evidence& seen);

    [[nodiscard]] bool contains(const endpoint_run& run) const;

    /// Forgets the incarnations that `is_registered` has denied for longer than `retention`; to be
    /// called regularly. `is_registered` is called under a shard's lock.
    void review(const run_filter& is_registered, core::instant now);

    [[nodiscard]] std::size_t size() const { return unregistered_since_.size(); }

private:
    // Since when reviews have found an incarnation unregistered.
    mutable concurrency::sharded<endpoint_run, std::optional<core::instant>> unregistered_since_;
};

} // namespace ej::forwarding
