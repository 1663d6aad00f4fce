#pragma once

#include <core/failure_domain_id.h>
#include <core/vm_id.h>

#include <compare>

namespace ej::config {

/// A live daemon, as reported by the membership service.
struct member {
    core::vm_id vm;
    core::failure_domain_id domain;

    friend auto operator<=>(const member&, const member&) = default;
};

} // namespace ej::config
