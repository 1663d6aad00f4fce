#pragma once

#include <lease/answer_kind.h>
#include <lease/call_number.h>
#include <lease/lease_id.h>

#include <core/fencing_number.h>

#include <compare>

namespace ej::lease {

/// The platform's answer to a call.
struct platform_answer {
    call_number number;
    answer_kind kind = answer_kind::lost;
    lease_id lease;               ///< The lease created, or the lease that wrote the key read.
    core::fencing_number fencing; ///< For `claim` and `read`: the key's revision.

    friend auto operator<=>(const platform_answer&, const platform_answer&) = default;
};

} // namespace ej::lease
