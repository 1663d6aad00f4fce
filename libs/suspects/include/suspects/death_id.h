#pragma once

#include <core/endpoint_id.h>
#include <core/incarnation_id.h>

#include <compare>

namespace ej::suspects {

/// Identifies one death of an endpoint; each incarnation dies at most once.
struct death_id {
    core::endpoint_id endpoint;
    core::incarnation_id incarnation;

    friend auto operator<=>(const death_id&, const death_id&) = default;
};

} // namespace ej::suspects
