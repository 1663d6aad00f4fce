#pragma once

#include <suspects/dated_death.h>
#include <suspects/death_id.h>
#include <suspects/death_id_hash.h>
#include <suspects/known_part_death.h>

#include <core/instant.h>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace ej::suspects {

/// Deaths that count as evidence, indexed once for the look-ups of many parts.
class death_index {
public:
    explicit death_index(std::span<const known_part_death> deaths);

    /// The deaths of `ids` that the index has, ordered by failure domain and time.
    [[nodiscard]] std::vector<dated_death> find(std::span<const death_id> ids) const;

    /// Number of deaths in `some`, ordered as by `find`, where those of one failure domain within a
    /// second count once: a rack or a power supply takes several endpoints with it. Deaths beside
    /// which more others of the index occurred in the same failure domain do not count.
    [[nodiscard]] std::uint32_t independent(std::span<const dated_death> some) const;

private:
    std::unordered_map<death_id, dated_death> deaths_;
    std::vector<std::vector<core::instant>> times_; // By failure domain; sorted.
};

/// Number of bursts: deaths within a second count once, in whatever failure domain.
[[nodiscard]] std::uint32_t bursts_of(std::span<const dated_death> deaths);

} // namespace ej::suspects
