#pragma once

#include <routing/pool_key.h>

#include <core/endpoint_id.h>

#include <compare>

namespace ej::routing {

/// Where a request was sent; handed back when it ends.
struct placement {
    pool_key pool;
    core::endpoint_id endpoint;
    bool urgent = false;

    friend auto operator<=>(const placement&, const placement&) = default;
};

} // namespace ej::routing
