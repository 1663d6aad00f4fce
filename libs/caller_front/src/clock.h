#pragma once

#include <core/instant.h>

namespace ej::front {

/// The monotonic clock. Decisions in other libraries receive its time as an argument.
inline core::instant now()
{
    return core::instant::clock::now();
}

} // namespace ej::front
