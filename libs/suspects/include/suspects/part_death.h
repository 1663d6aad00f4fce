#pragma once

#include <suspects/death_id.h>
#include <suspects/part_digest.h>

#include <core/failure_domain_id.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// A death of an endpoint and the prompt parts of requests that had no output there. Daemons send
/// it to each other.
struct part_death {
    death_id death;
    core::failure_domain_id domain;
    std::vector<part_digest> parts; ///< Sorted, without duplicates.

    friend auto operator<=>(const part_death&, const part_death&) = default;
};

} // namespace ej::suspects
