#pragma once

#include <chrono>
#include <cstdint>

namespace ej::forwarding {

/// Pause before a stream that cannot go on now is resumed; `pauses`: how many it has made since its
/// last output.
[[nodiscard]] std::chrono::milliseconds resume_pause(std::uint32_t pauses);

} // namespace ej::forwarding
