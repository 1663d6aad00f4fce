#pragma once

#include <core/instant.h>

#include <chrono>

namespace ej::suspects {

inline constexpr std::chrono::milliseconds shortest_refusal_pause{200};
inline constexpr std::chrono::seconds longest_refusal_pause{10};

/// Pause after which a caller that was refused because of a held part may come again, if the latest
/// evidence against the part is as old as `since_evidence`. Grows with it, within the bounds above.
[[nodiscard]] core::duration refusal_pause(core::duration since_evidence);

} // namespace ej::suspects
