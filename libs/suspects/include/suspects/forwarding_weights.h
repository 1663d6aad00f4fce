#pragma once

#include <suspects/suspicion_weights.h>

namespace ej::suspects {

/// Weights for forwarded requests: three deaths alone, five shared ones before output, or six after
/// it. Endpoints also die for other reasons, several at a time, and equal requests of several
/// callers may run at each of them. A stream that outlives the losses of whole failure domains may
/// see as many deaths after its output as it has attempts, which are five at most.
inline constexpr suspicion_weights forwarding_weights{
    .alone = 6, .shared = 4, .after_output = 3, .refuse = 18};

} // namespace ej::suspects
