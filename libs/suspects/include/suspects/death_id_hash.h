#pragma once

#include <suspects/death_id.h>

#include <functional>

/// Hash for unordered containers keyed by `death_id`.
template <>
struct std::hash<ej::suspects::death_id> {
    std::size_t operator()(const ej::suspects::death_id& key) const noexcept
    {
        constexpr std::size_t odd_multiplier = 0x9e3779b97f4a7c15;
        return std::hash<ej::core::endpoint_id>{}(key.endpoint) * odd_multiplier +
               std::hash<ej::core::incarnation_id>{}(key.incarnation);
    }
};
