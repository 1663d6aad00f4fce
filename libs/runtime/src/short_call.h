#pragma once

#include <core/idempotency_key.h>
#include <core/instant.h>
#include <core/work_class.h>
#include <core/workspace_id.h>
#include <wire/short_request.h>

#include <compare>

namespace ej::runtime {

/// A caller's call to a service that answers with a single response.
struct short_call {
    core::workspace_id workspace;
    core::work_class work_class;
    core::idempotency_key key; ///< Empty when the caller gave none.
    wire::short_request wanted;
    core::instant deadline;

    friend auto operator<=>(const short_call&, const short_call&) = default;
};

} // namespace ej::runtime
