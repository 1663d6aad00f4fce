#pragma once

#include <lease/call_kind.h>
#include <lease/call_number.h>
#include <lease/lease_id.h>

#include <compare>

namespace ej::lease {

/// A call to be made to the platform.
struct platform_call {
    call_kind kind = call_kind::create;
    call_number number;
    lease_id lease; ///< Empty for `create` and `read`.

    friend auto operator<=>(const platform_call&, const platform_call&) = default;
};

} // namespace ej::lease
