#pragma once

#include <suspects/death_id.h>
#include <suspects/death_kind.h>

#include <core/instant.h>

#include <compare>

namespace ej::suspects {

/// A death that counts against a request.
struct request_death {
    death_id death;
    death_kind kind = death_kind::shared;
    core::duration age{}; ///< Since it was first known.

    friend auto operator<=>(const request_death&, const request_death&) = default;
};

} // namespace ej::suspects
