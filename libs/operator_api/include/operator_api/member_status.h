#pragma once

#include <core/failure_domain_id.h>
#include <core/revision.h>
#include <core/vm_id.h>

#include <compare>

namespace ej::operator_api {

/// Another daemon as one daemon sees it.
struct member_status {
    core::vm_id vm;
    core::failure_domain_id domain;
    core::revision in_force; ///< Last configuration revision received from it; 0: none yet.

    friend auto operator<=>(const member_status&, const member_status&) = default;
};

} // namespace ej::operator_api
