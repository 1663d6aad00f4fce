#pragma once

#include <forwarding/backoff_step.h>
#include <forwarding/delayed_request.h>

#include <core/instant.h>

namespace ej::forwarding {

/// The step for `request`; `earliest`: when the first endpoint may accept it.
[[nodiscard]] backoff_step step_in_backoff(const delayed_request& request, core::instant earliest,
                                           core::instant now);

/// The delay after which the caller of a refused request may come back.
[[nodiscard]] core::duration return_delay(core::instant earliest, std::uint64_t draw,
                                          core::instant now);

} // namespace ej::forwarding
