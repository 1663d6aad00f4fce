#pragma once

#include <core/endpoint_id.h>
#include <core/incarnation_id.h>
#include <core/instant.h>

#include <compare>

namespace ej::membership {

/// State that an endpoint reported itself, in its answer to a load request or in a refusal.
struct endpoint_report {
    core::endpoint_id name;
    core::incarnation_id incarnation;
    bool leaving = false;
    core::instant requested_at; ///< When the request was sent.

    friend auto operator<=>(const endpoint_report&, const endpoint_report&) = default;
};

} // namespace ej::membership
