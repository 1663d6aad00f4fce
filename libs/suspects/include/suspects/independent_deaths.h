#pragma once

#include <suspects/known_part_death.h>

#include <cstdint>
#include <span>

namespace ej::suspects {

/// Number of deaths in `deaths`, where those of one failure domain within a second count once: a
/// rack or a power supply takes several endpoints with it. Deaths beside which more others, of
/// `all`, occurred in the same failure domain do not count.
[[nodiscard]] std::uint32_t independent_deaths(std::span<const known_part_death> deaths,
                                               std::span<const known_part_death> all);

/// Number of bursts: deaths within a second count once, in whatever failure domain.
[[nodiscard]] std::uint32_t bursts_of(std::span<const known_part_death> deaths);

} // namespace ej::suspects
