#pragma once

#include <suspects/death_record.h>

#include <core/instant.h>

#include <compare>

namespace ej::suspects {

/// A death record, when it was first known and its expiry.
struct known_death {
    death_record record;
    core::instant seen{};
    core::instant expires{};

    friend auto operator<=>(const known_death&, const known_death&) = default;
};

} // namespace ej::suspects
