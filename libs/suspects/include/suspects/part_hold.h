#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// State of a part that is held back.
struct part_hold {
    std::uint32_t trials = 0; ///< Requests that reached endpoints since, one after another.
    core::instant next_trial{};
    bool ambiguous = false; ///< Other parts of the same requests explain all deaths as well.
    bool admitted = false;  ///< A trial of this daemon has not reached an endpoint yet.

    friend auto operator<=>(const part_hold&, const part_hold&) = default;
};

} // namespace ej::suspects
