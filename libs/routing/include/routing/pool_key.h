#pragma once

#include <core/failure_domain_id.h>
#include <core/service_id.h>

#include <compare>

namespace ej::routing {

/// Identifies a pool: the endpoints of one service in one failure domain.
struct pool_key {
    core::service_id service;
    core::failure_domain_id domain;

    friend auto operator<=>(const pool_key&, const pool_key&) = default;
};

} // namespace ej::routing
