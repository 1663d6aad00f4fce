#pragma once

#include "services.h"

#include <actions/action_outcome.h>
#include <http/response.h>

namespace ej::runtime {

/// The answer that tells a caller `outcome`, counted by reason.
[[nodiscard]] http::response reply_of(const actions::action_outcome& outcome, services& shared);

} // namespace ej::runtime
