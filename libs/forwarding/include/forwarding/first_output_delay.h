#pragma once

#include <forwarding/call_size.h>
#include <forwarding/candidate.h>

#include <core/instant.h>

namespace ej::forwarding {

/// Time to the first output of a generation of `size` if it is sent to `one` now: the prompts that
/// the engine has not read yet are read first.
[[nodiscard]] core::duration first_output_delay(const candidate& one, const call_size& size,
                                                core::instant now);

} // namespace ej::forwarding
