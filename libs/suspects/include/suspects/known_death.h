#pragma once

#include <suspects/death_record.h>

#include <core/instant.h>

#include <compare>

namespace ej::suspects {

/// A death record and its expiry.
struct known_death {
    death_record record;
    core::instant expires{};

    friend auto operator<=>(const known_death&, const known_death&) = default;
};

} // namespace ej::suspects
