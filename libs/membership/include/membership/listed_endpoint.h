#pragma once

#include <core/endpoint.h>

#include <compare>

namespace ej::membership {

/// A line of the platform's list.
struct listed_endpoint {
    core::endpoint endpoint;
    bool leaving = false;

    friend auto operator<=>(const listed_endpoint&, const listed_endpoint&) = default;
};

} // namespace ej::membership
