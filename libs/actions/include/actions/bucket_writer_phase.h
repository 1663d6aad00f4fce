#pragma once

#include <cstddef>

namespace ej::actions {

/// Phase of a bucket writer.
enum class bucket_writer_phase {
    idle,      ///< No claim waits.
    scheduled, ///< Waits until the rate limit allows a store call; new claims are queued.
    reading,   ///< A read of the bucket is in progress.
    writing    ///< A write of the bucket is in progress.
};

inline constexpr std::size_t bucket_writer_phase_count = 4;

} // namespace ej::actions
