#pragma once

#include <routing/pool_key.h>

#include <functional>

/// Hash of a pool key, for unordered containers.
template <>
struct std::hash<ej::routing::pool_key> {
    std::size_t operator()(const ej::routing::pool_key& key) const noexcept
    {
        constexpr std::size_t odd_multiplier = 0x9e3779b97f4a7c15;
        return std::hash<ej::core::service_id>{}(key.service) * odd_multiplier +
               std::hash<ej::core::failure_domain_id>{}(key.domain);
    }
};
