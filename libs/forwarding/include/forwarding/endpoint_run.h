#pragma once

#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/incarnation_id.h>

#include <compare>

namespace ej::forwarding {

/// One incarnation of an endpoint: what is known of it does not hold for the next one.
struct endpoint_run {
    core::endpoint_id name;
    core::incarnation_id incarnation;

    friend auto operator<=>(const endpoint_run&, const endpoint_run&) = default;
};

/// The run that `endpoint` describes.
[[nodiscard]] inline endpoint_run run_of(const core::endpoint& endpoint)
{
    return {endpoint.name, endpoint.incarnation};
}

} // namespace ej::forwarding
