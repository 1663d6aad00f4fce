#pragma once

#include "rollout_way.h"

#include <array>
#include <cstdint>

namespace ej::measure {

/// Steps by time, whatever the answers are.
[[nodiscard]] inline bool never_bad(const rollout::answers_by_route& /*answers*/)
{
    return false;
}

/// A fixed threshold: more failures than the other versions by five in a hundred answers.
[[nodiscard]] inline bool above_threshold(const rollout::answers_by_route& answers)
{
    constexpr double margin = 0.05;
    constexpr std::uint64_t least = 10;
    rollout::route_answers sum;
    for (const auto& [route, one] : answers) {
        sum += one;
    }
    const auto target = sum.target.answers();
    const auto others = sum.others.answers();
    return target >= least && others >= least &&
           double(sum.target.failed) / double(target) >
               double(sum.others.failed) / double(others) + margin;
}

inline constexpr std::array<rollout_way, 3> rollout_ways{{
    {"steps by time", false, &never_bad},
    {"fixed threshold", false, &above_threshold},
    {"sequential test", true, nullptr},
}};

} // namespace ej::measure
