#pragma once

#include <suspects/part_death.h>

#include <core/instant.h>

#include <compare>

namespace ej::suspects {

/// A reported death and when this daemon first learned of it.
struct known_part_death {
    part_death what;
    core::instant at{};

    friend auto operator<=>(const known_part_death&, const known_part_death&) = default;
};

} // namespace ej::suspects
