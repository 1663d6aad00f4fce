#pragma once

#include <core/endpoint_id.h>
#include <core/incarnation_id.h>

#include <compare>

namespace ej::membership {

/// An incarnation of an endpoint that accepts no new work.
struct leaving_endpoint {
    core::endpoint_id name;
    core::incarnation_id incarnation;

    friend auto operator<=>(const leaving_endpoint&, const leaving_endpoint&) = default;
};

} // namespace ej::membership
