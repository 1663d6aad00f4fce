#pragma once

#include <suspects/death_record.h>

#include <core/instant.h>

#include <compare>

namespace ej::suspects {

/// A death record and how long ago the death was first known.
struct aged_death {
    death_record record;
    core::duration age{};

    friend auto operator<=>(const aged_death&, const aged_death&) = default;
};

} // namespace ej::suspects
