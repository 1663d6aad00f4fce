#pragma once

#include <platform/vm_role.h>

#include <core/endpoint.h>
#include <core/vm_id.h>

#include <compare>

namespace ej::platform {

/// A VM in the platform's list, which may lag behind.
struct vm_record {
    core::vm_id vm;
    vm_role role = vm_role::other;
    core::endpoint what; ///< For a daemon only address, domain and incarnation are set.
    bool leaving = false;

    friend auto operator<=>(const vm_record&, const vm_record&) = default;
};

} // namespace ej::platform
