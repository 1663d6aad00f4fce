#pragma once

#include <core/endpoint_id.h>
#include <core/failure_domain_id.h>
#include <core/service_id.h>

#include <compare>

namespace ej::operator_api {

/// An endpoint as one daemon sees it.
struct endpoint_status {
    core::endpoint_id name;
    core::failure_domain_id domain;
    core::service_id service;
    bool takes_work = true; ///< False: it is leaving or unreachable.

    friend auto operator<=>(const endpoint_status&, const endpoint_status&) = default;
};

} // namespace ej::operator_api
