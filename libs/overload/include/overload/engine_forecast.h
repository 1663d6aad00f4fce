#pragma once

#include <overload/generation_demand.h>
#include <overload/service_usage.h>

#include <forwarding/candidate.h>
#include <forwarding/engine_profile.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::overload {

/// What a generation is expected to find at an engine.
struct engine_forecast {
    core::duration first_output{}; ///< From now on, if it is sent now.
    bool fits = false;             ///< Its memory and a slot are free until its end.
    bool idle = false;             ///< No other prompt waits to be read.

    friend auto operator<=>(const engine_forecast&, const engine_forecast&) = default;
};

/// Forecast for a generation that will hold `memory` tokens, from the load that this daemon knows.
[[nodiscard]] engine_forecast forecast(const forwarding::candidate& engine,
                                       const generation_demand& demand, std::uint64_t memory,
                                       const forwarding::engine_profile& profile,
                                       const service_usage& usage, core::instant now);

/// Share of an engine's memory that may be promised to generations. The rest covers sends of other
/// daemons that were not reported yet and streams that grow longer than usual.
inline constexpr double usable_memory = 0.95;

/// True if `memory` further tokens fit beside what the engine holds, up to the share `fill` of its
/// memory.
[[nodiscard]] bool has_memory(const forwarding::endpoint_stats& known, std::uint64_t memory,
                              const forwarding::engine_profile& profile, double fill);

} // namespace ej::overload
