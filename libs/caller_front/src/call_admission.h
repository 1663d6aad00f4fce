#pragma once

#include "caller_request.h"
#include "forwarded_call.h"
#include "front_context.h"
#include "reply_sink.h"
#include "upstream_pool.h"
#include "waiting_calls.h"

#include <memory>

namespace ej::front {

/// Admits or rejects a caller's request according to the configuration. Starts the call of an
/// admitted request; answers a rejected one at once and returns null. Used on the caller's lane.
[[nodiscard]] std::shared_ptr<forwarded_call> admit(front_context& context, upstream_pool& pool,
                                                    waiting_calls& waiting, caller_request request,
                                                    const std::shared_ptr<reply_sink>& sink);

} // namespace ej::front
