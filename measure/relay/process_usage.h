#pragma once

#include <sys/types.h>

#include <compare>
#include <cstdint>

namespace ej::measure {

/// Resources that a process has used since its start.
struct process_usage {
    double processor_seconds = 0;
    std::uint64_t resident_bytes = 0;
    std::uint64_t wakeups = 0; ///< Voluntary context switches of all threads.

    friend auto operator<=>(const process_usage&, const process_usage&) = default;
};

/// Reads the usage of `process` from /proc; all zero when the process does not exist.
[[nodiscard]] process_usage usage_of(pid_t process);

} // namespace ej::measure
