#pragma once

#include <core/incarnation_id.h>
#include <core/request_id.h>

#include <atomic>
#include <cstdint>

namespace ej::runtime {

/// Makes request identifiers that are unique in the fleet: the daemon's incarnation and a count.
/// Thread-safe.
class request_ids {
public:
    /// Draws a new incarnation.
    request_ids();

    /// The next identifier.
    [[nodiscard]] core::request_id next();

    /// A number that differs with each call, for random choices.
    [[nodiscard]] std::uint64_t next_seed();

    /// This run of the daemon.
    [[nodiscard]] const core::incarnation_id& incarnation() const { return incarnation_; }

private:
    core::incarnation_id incarnation_;
    std::uint64_t seed_ = 0;
    std::atomic<std::uint64_t> count_{0};
    std::atomic<std::uint64_t> seeds_{0};
};

} // namespace ej::runtime
