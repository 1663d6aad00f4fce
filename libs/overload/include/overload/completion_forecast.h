#pragma once

#include <overload/generation_demand.h>
#include <overload/service_usage.h>

#include <forwarding/candidate.h>
#include <forwarding/engine_profile.h>

#include <core/instant.h>

namespace ej::overload {

/// How long a generation takes from its send to its last output at `engine`, with a margin: the
/// longer of what the engine's present pace and what earlier generations suggest.
[[nodiscard]] core::duration completion_time(const forwarding::candidate& engine,
                                             const generation_demand& demand,
                                             const forwarding::engine_profile& profile,
                                             const service_usage& usage, core::instant now);

} // namespace ej::overload
