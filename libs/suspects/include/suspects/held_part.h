#pragma once

#include <suspects/part_digest.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// A part that is held back, as one daemon tells the others. Times are relative, since clocks of
/// daemons differ.
struct held_part {
    part_digest part;
    std::uint32_t trials = 0;        ///< Requests that reached endpoints since.
    core::duration until_trial{};    ///< Until the next one; not negative.
    core::duration since_evidence{}; ///< Since the latest death or trial; not negative.

    friend auto operator<=>(const held_part&, const held_part&) = default;
};

} // namespace ej::suspects
