#pragma once

#include "caller_request.h"
#include "forwarded_call.h"
#include "front_context.h"
#include "reply_sink.h"
#include "upstream_pool.h"

#include <memory>

namespace ej::front {

/// Checks a caller's request against the configuration and starts its call; or answers it at once
/// and returns null. Used on the caller's lane.
[[nodiscard]] std::shared_ptr<forwarded_call> admit(front_context& context, upstream_pool& pool,
                                                    caller_request request,
                                                    const std::shared_ptr<reply_sink>& sink);

} // namespace ej::front
