#pragma once

#include <routing/pool_key.h>

#include <core/endpoint_id.h>

#include <compare>

namespace ej::routing {

/// The endpoint that a request was assigned to; passed to `release` when the request ends.
struct endpoint_assignment {
    pool_key pool;
    core::endpoint_id endpoint;
    bool urgent = false;

    friend auto operator<=>(const endpoint_assignment&, const endpoint_assignment&) = default;
};

} // namespace ej::routing
