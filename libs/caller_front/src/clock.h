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

} // namespace ej::front
