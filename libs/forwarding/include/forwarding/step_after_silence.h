#pragma once

#include <forwarding/call_progress.h>
#include <forwarding/route.h>
#include <forwarding/silence_step.h>

namespace ej::forwarding {

/// The step for a stream on route `by` whose engine is silent. `progress` is that before the
/// current attempt has ended; `other_engine`: another engine could continue the stream.
[[nodiscard]] silence_step step_after_silence(const call_progress& progress, const route& by,
                                              bool other_engine);

} // namespace ej::forwarding
