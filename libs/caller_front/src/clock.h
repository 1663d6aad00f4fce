#pragma once

#include <core/instant.h>

#include <time.h>

#include <chrono>

namespace ej::front {

/// The monotonic clock. Decisions in other libraries receive its time as an argument.
inline core::instant now()
{
    return core::instant::clock::now();
}

/// Time since boot. Includes time during which the VM was suspended, unlike `now`.
inline core::duration since_boot()
{
    timespec read{};
    // Cannot fail on Linux 2.6.39 and later.
    static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &read));
    return std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec);
}

/// Milliseconds since the Unix epoch.
using unix_time = std::chrono::milliseconds;

/// The time of day. May jump by seconds, and differs between VMs.
inline unix_time time_of_day()
{
    return std::chrono::duration_cast<unix_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace ej::front
