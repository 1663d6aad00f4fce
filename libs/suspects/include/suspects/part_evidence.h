#pragma once

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// What is known of a part: deaths of endpoints during which a request with the part had no output,
/// and outputs of requests with the part. A death that a part already held back explains counts for
/// no other part.
struct part_evidence {
    std::uint32_t total = 0;       ///< All deaths, also those before an output.
    std::uint32_t unanswered = 0;  ///< Deaths since the latest output.
    std::uint32_t independent = 0; ///< Of these, see `death_index`.
    std::uint32_t bursts = 0;      ///< Of these, those of one burst in any domain count once.
    bool proven = false;           ///< A request with the part has had output.

    friend auto operator<=>(const part_evidence&, const part_evidence&) = default;
};

} // namespace ej::suspects
