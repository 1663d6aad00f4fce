#pragma once

#include <core/instant.h>

#include <cstddef>
#include <cstdint>

namespace ej::overload {

/// Time until a daemon with waiting generations looks for a free place again, if `daemons` may do
/// so. `draw` spreads the looks of several daemons.
[[nodiscard]] core::duration look_interval(std::size_t daemons, std::uint64_t draw);

} // namespace ej::overload
