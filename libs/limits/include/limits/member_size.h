#pragma once

#include <core/vm_id.h>

#include <compare>

namespace ej::limits {

/// A daemon and the size of its VM.
struct member_size {
    core::vm_id vm;
    double size = 1.0; ///< Relative size of the VM; > 0.

    friend auto operator<=>(const member_size&, const member_size&) = default;
};

} // namespace ej::limits
