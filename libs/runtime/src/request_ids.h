#pragma once

#include <core/incarnation_id.h>
#include <core/request_id.h>

#include <atomic>
#include <cstdint>

namespace ej::runtime {

/// Generates request identifiers that are unique in the fleet: the daemon's incarnation and a
/// counter. Thread-safe.
class request_ids {
public:
    /// Generates a random incarnation.
    request_ids();

    /// The next identifier.
    [[nodiscard]] core::request_id next();

    /// Returns a different number on each call, to seed random choices.
    [[nodiscard]] std::uint64_t next_seed();

    /// Identifies this run of the daemon.
    [[nodiscard]] const core::incarnation_id& incarnation() const { return incarnation_; }

private:
    core::incarnation_id incarnation_;
    std::uint64_t seed_ = 0;
    std::atomic<std::uint64_t> count_{0};
    std::atomic<std::uint64_t> seeds_{0};
};

} // namespace ej::runtime
