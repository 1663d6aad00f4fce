#pragma once

#include <forwarding/endpoint_run.h>

#include <cstddef>
#include <functional>

/// Hash for unordered containers keyed by `endpoint_run`.
template <>
struct std::hash<ej::forwarding::endpoint_run> {
    std::size_t operator()(const ej::forwarding::endpoint_run& key) const noexcept
    {
        constexpr std::size_t odd_multiplier = 0x9e3779b97f4a7c15;
        return std::hash<ej::core::endpoint_id>{}(key.name) * odd_multiplier +
               std::hash<ej::core::incarnation_id>{}(key.incarnation);
    }
};
