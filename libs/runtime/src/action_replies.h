#pragma once

#include "daemon_context.h"

#include <actions/action_outcome.h>
#include <http/response.h>

namespace ej::runtime {

/// Makes the response to the caller for `outcome`; counts refusals and unknown outcomes by reason.
[[nodiscard]] http::response reply_of(const actions::action_outcome& outcome,
                                      daemon_context& shared);

} // namespace ej::runtime
