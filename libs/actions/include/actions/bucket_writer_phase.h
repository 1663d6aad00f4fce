#pragma once

#include <cstddef>

namespace ej::actions {

/// What a claim bucket's writer is doing.
enum class bucket_writer_phase {
    idle,      ///< Nothing waits.
    scheduled, ///< Waits for its turn to call the platform; claims gather meanwhile.
    reading,   ///< A read of the bucket is under way.
    writing    ///< A write of the bucket is under way.
};

inline constexpr std::size_t bucket_writer_phase_count = 4;

} // namespace ej::actions
