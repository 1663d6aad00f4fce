#pragma once

#include <overload/service_usage.h>

#include <forwarding/call_size.h>

#include <concurrency/sharded.h>
#include <core/instant.h>
#include <core/service_id.h>

#include <cstdint>

namespace ej::overload {

/// Learns `service_usage` from this daemon's own streams. Thread-safe: one lock per shard of
/// services.
class usage_history {
public:
    /// Records a first output that came after `measured` and was forecast after `forecast`, with
    /// the `read_ratio` of that time. Both are > 0.
    void record_first_output(const core::service_id& service, core::duration forecast,
                             core::duration measured);

    /// Records the time that a running stream took for one output token.
    void record_token_time(const core::service_id& service, core::duration time);

    /// Records a complete stream of `output_tokens`, which took `run_time` from its send.
    void record_stream(const core::service_id& service, const forwarding::call_size& declared,
                       std::uint64_t output_tokens, core::duration run_time);

    [[nodiscard]] service_usage of(const core::service_id& service);

private:
    concurrency::sharded<core::service_id, service_usage> entries_;
};

} // namespace ej::overload
