#pragma once

#include <core/address.h>
#include <core/endpoint_id.h>
#include <core/failure_domain_id.h>
#include <core/incarnation_id.h>
#include <core/service_id.h>
#include <core/version_id.h>

#include <compare>
#include <cstdint>

namespace ej::core {

/// An endpoint as the platform's list or the endpoint itself describes it.
struct endpoint {
    endpoint_id name;
    incarnation_id incarnation;
    failure_domain_id domain;
    service_id service;
    address where;
    std::uint32_t slots = 1;     ///< Requests it runs at once; from 1.
    bool checks_fencing = false; ///< Refuses an order with an old fencing number.
    version_id version;          ///< Of its software; empty: unknown.

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace ej::core
