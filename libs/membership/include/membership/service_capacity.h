#pragma once

#include <core/service_id.h>

#include <compare>
#include <cstdint>

namespace ej::membership {

/// The capacity of a failure domain for one service.
struct service_capacity {
    core::service_id service;
    std::uint32_t endpoints = 0;
    std::uint32_t free_slots = 0;

    friend auto operator<=>(const service_capacity&, const service_capacity&) = default;
};

} // namespace ej::membership
